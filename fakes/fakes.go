// Package fakes holds small stand-ins for the systems around a node: a backend server and the platform.
package fakes
