package config_test

import (
	"fmt"

	"verbenareel/config"
)

// An invalid document is rejected. The error gives the position of each validation error.
func ExampleParseDocument() {
	text := []byte("deployment = \"Example\"\n\n[places.regions.north]\ndelay = \"half\"\n")
	_, err := config.ParseDocument(text)
	fmt.Println(err != nil)
	// Output: true
}

// Sections splits a document into parts whose concatenation is the document.
func ExampleSections() {
	text := []byte("deployment = \"Example\"\n[places.regions.north]\ndelay = \"1ms\"\n[places.domains.a]\nregion = \"north\"\n")
	for _, section := range config.Sections(text) {
		fmt.Printf("%d bytes\n", len(section))
	}
	// Output:
	// 23 bytes
	// 37 bytes
	// 36 bytes
}
