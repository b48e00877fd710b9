// Package config parses the operators' configuration document and a node's settings from TOML, and reports every error in
// them by section, key and line. Field names, types, enumerations and maps are taken from the message definitions in
// schema/config.proto.
//
// Acceptance is a pure function of the text, so every node accepts or rejects the same bytes.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"google.golang.org/protobuf/proto"

	"verbenareel/schema"
)

// MaxDocument is the maximum size of a document in bytes. The platform stores values of up to 1 MB.
const MaxDocument = 1 << 20

// ParseDocument parses and validates a document and fills in defaults. The error of an invalid document wraps a *ValidationErrors.
func ParseDocument(text []byte) (*schema.Document, error) {
	document := &schema.Document{}
	err := parse(text, document, func(c *checker) {
		applyDocumentDefaults(document, c.present)
		checkDocument(c, document)
	})
	if err != nil {
		return nil, fmt.Errorf("parse document: %w", err)
	}
	return document, nil
}

// ParseSettings parses and validates the settings of a node and fills in defaults. The error of invalid settings wraps a
// *ValidationErrors.
func ParseSettings(text []byte) (*schema.Settings, error) {
	settings := &schema.Settings{}
	filled := dropUnfilled(text)
	err := parse(filled, settings, func(c *checker) {
		if len(filled) != len(text) {
			dropEmptyBudget(settings)
		}
		applySettingsDefaults(settings)
		applyQuotaDefaults(settings, c.present)
		checkSettings(c, settings)
		checkQuotaTolerance(c, settings.GetQuotaTolerance())
	})
	if err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	return settings, nil
}

// parse decodes text into message and calls check to validate its values. It returns a *ValidationErrors if there are any errors.
func parse(text []byte, message proto.Message, check func(*checker)) error {
	faults := &ValidationErrors{}
	if len(text) > MaxDocument {
		faults.add(ValidationError{Line: 1, Column: 1, Message: fmt.Sprintf("has %d bytes; at most %d are accepted", len(text), MaxDocument)})
		return faults
	}
	d := newDecoder(text, faults)
	d.decode(message.ProtoReflect())
	check(&checker{source: d.source, incomplete: d.hasSyntaxError, rejected: d.rejected})
	if len(faults.list) == 0 {
		checkSyntax(d.source)
	}
	if len(faults.list) == 0 {
		return nil
	}
	sort.SliceStable(faults.list, func(i, j int) bool {
		a, b := faults.list[i], faults.list[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return faults
}

// checkSyntax checks the rules of TOML that the expression parser does not enforce, for example that a section may not
// extend an inline table.
func checkSyntax(s *source) {
	var plain map[string]any
	err := toml.Unmarshal(s.text, &plain)
	if err == nil {
		return
	}
	fault := ValidationError{Line: 1, Column: 1, Message: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		fault.Line, fault.Column = decode.Position()
	}
	s.faults.add(fault)
}

// Sections splits text before each table header. Concatenating the sections gives text again. Text before the first header
// is a section of its own, and text after a syntax error is not split.
func Sections(text []byte) [][]byte {
	var sections [][]byte
	var parser unstable.Parser
	parser.Reset(text)
	start := 0
	for parser.NextExpression() {
		e := parser.Expression()
		if e.Kind != unstable.Table && e.Kind != unstable.ArrayTable {
			continue
		}
		key := e.Key()
		key.Next()
		cut := bytes.LastIndexByte(text[:key.Node().Raw.Offset], '\n') + 1
		if cut > start {
			sections = append(sections, text[start:cut:cut])
			start = cut
		}
	}
	if start < len(text) {
		sections = append(sections, text[start:])
	}
	return sections
}

// HashSection returns the 64-bit xxHash of text.
func HashSection(text []byte) uint64 { return xxhash.Sum64(text) }
