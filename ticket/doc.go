// Package ticket lets a call that may not repeat run at most once. It does no I/O.
//
// A ticket names the process that alone may run a call; Store is the table of that process.
package ticket
