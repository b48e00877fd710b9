package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/schema"
)

const (
	// maxName is the length in bytes of the name of a service, region, failure domain or instance.
	maxName = 64
	// maxSyntaxFaults bounds the attempts to go on after a syntax error, since most of them may be consequences of the
	// first.
	maxSyntaxFaults = 20
)

// source is a text with the positions of its sections and keys.
type source struct {
	text   []byte
	lines  []int
	places map[string]int
	faults *Faults
}

// position returns line and column of an offset, counting from 1.
func (s *source) position(offset int) (line, column int) {
	line = sort.SearchInts(s.lines, offset+1)
	return line, offset - s.lines[line-1] + 1
}

// fault reports a fault at an offset.
func (s *source) fault(offset int, section, key, format string, args ...any) {
	line, column := s.position(offset)
	s.faults.add(Fault{Section: section, Key: key, Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

// scope is a table that keys are looked up in: a message, or a map from names to messages. A scope without either is an
// unknown section, whose keys are passed over.
type scope struct {
	message protoreflect.Message
	table   protoreflect.Map
	path    string
}

// part is one part of a key with its offset in the text.
type part struct {
	name   string
	offset int
}

// decoder fills a message from the expressions of a text.
type decoder struct {
	*source
	parser unstable.Parser
	// base is the offset in the text of the parser's input.
	base int
	// damaged reports a syntax error: keys may be missing because of it.
	damaged bool
	// rejected holds the keys whose values could not be used.
	rejected map[string]bool
}

func newDecoder(text []byte, faults *Faults) *decoder {
	lines := []int{0}
	for i, b := range text {
		if b == '\n' {
			lines = append(lines, i+1)
		}
	}
	s := &source{text: text, lines: lines, places: make(map[string]int), faults: faults}
	return &decoder{source: s, rejected: make(map[string]bool)}
}

// decode reads all expressions. After a syntax error it goes on with the next line.
func (d *decoder) decode(root protoreflect.Message) {
	top := scope{message: root}
	current := top
	for range maxSyntaxFaults {
		d.parser.Reset(d.text[d.base:])
		for d.parser.NextExpression() {
			current = d.expression(d.parser.Expression(), top, current)
		}
		if d.parser.Error() == nil || !d.recover(d.parser.Error(), current.path) {
			return
		}
	}
}

// recover reports a syntax error and moves to the line after it; it returns false at the end of the text.
func (d *decoder) recover(err error, section string) bool {
	d.damaged = true
	offset := d.base
	message := err.Error()
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		message = syntax.Message
		at := cap(d.parser.Data()) - cap(syntax.Highlight)
		if at >= 0 && at <= len(d.parser.Data()) {
			offset += at
		}
	}
	d.fault(offset, section, "", "syntax error: %s", message)
	end := bytes.IndexByte(d.text[offset:], '\n')
	if end < 0 {
		return false
	}
	d.base = offset + end + 1
	return true
}

// expression applies one expression and returns the scope of those after it.
func (d *decoder) expression(e *unstable.Node, top, current scope) scope {
	key := d.key(e)
	switch e.Kind {
	case unstable.Table:
		return d.section(top, key)
	case unstable.ArrayTable:
		return d.element(top, key)
	case unstable.KeyValue:
		d.assign(current, key, e.Value())
	}
	return current
}

// key returns the parts of the key of an expression.
func (d *decoder) key(e *unstable.Node) []part {
	var parts []part
	for keys := e.Key(); keys.Next(); {
		n := keys.Node()
		parts = append(parts, part{name: string(n.Data), offset: d.base + int(n.Raw.Offset)})
	}
	return parts
}

// section returns the scope of a table header.
func (d *decoder) section(top scope, key []part) scope {
	s := top
	for _, p := range key {
		s = d.enter(s, p)
	}
	if s.known() {
		d.define(s.path, s.path, "", key[0].offset)
	}
	return s
}

// element returns the scope of a new element of a list.
func (d *decoder) element(top scope, key []part) scope {
	s := top
	last := len(key) - 1
	for _, p := range key[:last] {
		s = d.enter(s, p)
	}
	field := d.field(s, key[last])
	if s.table != nil || field != nil && (!field.IsList() || field.Message() == nil) {
		d.fault(key[last].offset, s.path, key[last].name, "is not a list of sections; write [%s]", join(s.path, key[last].name))
		return d.enter(s, key[last])
	}
	if field == nil {
		return scope{path: join(s.path, key[last].name)}
	}
	list := s.message.Mutable(field).List()
	element := scope{message: list.AppendMutable().Message(), path: elementPath(s.path, field, list.Len())}
	d.places[element.path] = key[0].offset
	return element
}

func elementPath(path string, field protoreflect.FieldDescriptor, number int) string {
	return fmt.Sprintf("%s[%d]", join(path, string(field.Name())), number)
}

func (s scope) known() bool { return s.message != nil || s.table != nil }

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// enter returns the scope of a table within a scope.
func (d *decoder) enter(s scope, p part) scope {
	unknown := scope{path: join(s.path, p.name)}
	if s.table != nil {
		return d.entry(s, p)
	}
	field := d.field(s, p)
	switch {
	case field == nil:
		return unknown
	case field.IsMap():
		return scope{table: s.message.Mutable(field).Map(), path: unknown.path}
	case field.IsList() || field.Message() == nil || isDuration(field):
		what := expected(field)
		if field.IsList() {
			what = "a list of sections, [[" + unknown.path + "]]"
		}
		d.fault(p.offset, s.path, p.name, "is not a section; expected %s", what)
		return unknown
	}
	return scope{message: s.message.Mutable(field).Message(), path: unknown.path}
}

// entry returns the scope of a named entry of a map and creates it.
func (d *decoder) entry(s scope, p part) scope {
	path := join(s.path, p.name)
	if _, ok := d.places[path]; !ok {
		d.name(s, p)
		d.places[path] = p.offset
	}
	return scope{message: s.table.Mutable(protoreflect.ValueOfString(p.name).MapKey()).Message(), path: path}
}

func (d *decoder) name(s scope, p part) {
	if !validName(p.name) {
		d.fault(p.offset, s.path, p.name, "is not a name: use 1 to %d of a-z, A-Z, 0-9, '-' and '_'", maxName)
	}
}

func validName(name string) bool {
	valid := func(r rune) bool {
		return r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}
	return name != "" && len(name) <= maxName && strings.IndexFunc(name, func(r rune) bool { return !valid(r) }) < 0
}

// define reports a second definition of a section or key.
func (d *decoder) define(path, section, key string, offset int) bool {
	marker := "=" + path
	first, ok := d.places[marker]
	if ok {
		line, _ := d.position(first)
		d.fault(offset, section, key, "is defined twice; first on line %d", line)
		return false
	}
	d.places[marker] = offset
	if _, ok := d.places[path]; !ok || key != "" {
		d.places[path] = offset
	}
	return true
}

// field returns the field that a key names, or nil after it reported an unknown key.
func (d *decoder) field(s scope, p part) protoreflect.FieldDescriptor {
	if s.message == nil {
		return nil
	}
	field := d.lookup(s, p)
	if field == nil {
		fields := s.message.Descriptor().Fields()
		names := make([]string, 0, fields.Len())
		for i := range fields.Len() {
			names = append(names, string(fields.Get(i).Name()))
		}
		d.fault(p.offset, s.path, p.name, "is not a known key; did you mean %q?", nearest(p.name, names))
	}
	return field
}

func (d *decoder) lookup(s scope, p part) protoreflect.FieldDescriptor {
	if s.message == nil {
		return nil
	}
	return s.message.Descriptor().Fields().ByName(protoreflect.Name(p.name))
}

// assign sets the value of a key, which may be dotted.
func (d *decoder) assign(s scope, key []part, value *unstable.Node) {
	last := len(key) - 1
	for _, p := range key[:last] {
		s = d.enter(s, p)
	}
	p := key[last]
	if s.table != nil {
		if d.define(join(s.path, p.name), s.path, p.name, p.offset) {
			d.name(s, p)
			d.inline(d.entry(s, p), s, p, value)
		}
		return
	}
	field := d.field(s, p)
	if field == nil || !d.define(join(s.path, p.name), s.path, p.name, p.offset) {
		return
	}
	d.set(s, field, p, value)
}

// set stores a value in a field of the scope's message.
func (d *decoder) set(s scope, field protoreflect.FieldDescriptor, p part, value *unstable.Node) {
	switch {
	case field.IsMap():
		d.inline(scope{table: s.message.Mutable(field).Map(), path: join(s.path, p.name)}, s, p, value)
	case field.IsList():
		d.list(s, field, p, value)
	case field.Message() != nil && !isDuration(field):
		d.inline(scope{message: s.message.Mutable(field).Message(), path: join(s.path, p.name)}, s, p, value)
	default:
		if v, ok := d.scalar(s, field, p, value); ok {
			s.message.Set(field, v)
		}
	}
}

// inline reads an inline table.
func (d *decoder) inline(inner, outer scope, p part, value *unstable.Node) {
	if value.Kind != unstable.InlineTable {
		d.reject(outer, p, "has a value of type %s; expected a section", kindName(value.Kind))
		return
	}
	for children := value.Children(); children.Next(); {
		n := children.Node()
		if n.Kind == unstable.KeyValue {
			d.assign(inner, d.key(n), n.Value())
		}
	}
}

// list reads an array into a repeated field.
func (d *decoder) list(s scope, field protoreflect.FieldDescriptor, p part, value *unstable.Node) {
	if value.Kind != unstable.Array {
		d.reject(s, p, "has a value of type %s; expected a list", kindName(value.Kind))
		return
	}
	list := s.message.Mutable(field).List()
	for children := value.Children(); children.Next(); {
		n := children.Node()
		if n.Kind == unstable.Comment {
			continue
		}
		if field.Message() != nil {
			element := scope{message: list.AppendMutable().Message(), path: elementPath(s.path, field, list.Len())}
			d.places[element.path] = p.offset
			d.inline(element, s, p, n)
			continue
		}
		if v, ok := d.scalar(s, field, p, n); ok {
			list.Append(v)
		}
	}
}

// reject reports a value that cannot be used. Other elements of a list can.
func (d *decoder) reject(s scope, p part, format string, args ...any) {
	if field := d.lookup(s, p); field == nil || !field.IsList() {
		d.rejected[join(s.path, p.name)] = true
	}
	d.fault(p.offset, s.path, p.name, format, args...)
}

// scalar converts a value to the type of the field.
func (d *decoder) scalar(s scope, field protoreflect.FieldDescriptor, p part, value *unstable.Node) (protoreflect.Value, bool) {
	mismatch := func() (protoreflect.Value, bool) {
		d.reject(s, p, "has a value of type %s; expected %s", kindName(value.Kind), expected(field))
		return protoreflect.Value{}, false
	}
	invalid := func() (protoreflect.Value, bool) {
		d.reject(s, p, "has the value %s; expected %s", quote(value.Data), expected(field))
		return protoreflect.Value{}, false
	}
	if value.Kind != scalarKind(field) && (field.Kind() != protoreflect.DoubleKind || value.Kind != unstable.Integer) {
		return mismatch()
	}
	text := string(value.Data)
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), true
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(text == "true"), true
	case protoreflect.EnumKind:
		if number, ok := enumNumber(field.Enum(), text); ok {
			return protoreflect.ValueOfEnum(number), true
		}
	case protoreflect.MessageKind:
		if duration, err := time.ParseDuration(text); err == nil {
			return protoreflect.ValueOfMessage(durationpb.New(duration).ProtoReflect()), true
		}
	case protoreflect.Uint32Kind:
		number, err := strconv.ParseUint(strings.TrimPrefix(text, "+"), 0, 32)
		if err == nil {
			return protoreflect.ValueOfUint32(uint32(number)), true
		}
	case protoreflect.DoubleKind:
		number, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
		if err == nil && !math.IsNaN(number) && !math.IsInf(number, 0) {
			return protoreflect.ValueOfFloat64(number), true
		}
	}
	return invalid()
}

// quote returns a value for a message, cut to a readable length.
func quote(data []byte) string {
	const longest = 40
	if len(data) > longest {
		data = data[:longest]
	}
	return strconv.Quote(string(data))
}

// scalarKind returns the TOML type of a field.
func scalarKind(field protoreflect.FieldDescriptor) unstable.Kind {
	switch field.Kind() {
	case protoreflect.BoolKind:
		return unstable.Bool
	case protoreflect.Uint32Kind:
		return unstable.Integer
	case protoreflect.DoubleKind:
		return unstable.Float
	case protoreflect.StringKind, protoreflect.EnumKind, protoreflect.MessageKind:
		return unstable.String
	}
	return unstable.Invalid
}

// expected describes the values of a field.
func expected(field protoreflect.FieldDescriptor) string {
	switch field.Kind() {
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.Uint32Kind:
		return fmt.Sprintf("an integer from 0 to %d", uint32(math.MaxUint32))
	case protoreflect.DoubleKind:
		return "a finite number"
	case protoreflect.EnumKind:
		return "one of " + strings.Join(enumNames(field.Enum()), ", ")
	case protoreflect.StringKind:
		return "a string"
	}
	if isDuration(field) {
		return `a duration such as "250ms"`
	}
	return "a section"
}

func kindName(kind unstable.Kind) string {
	switch kind {
	case unstable.InlineTable:
		return "table"
	case unstable.LocalDate, unstable.LocalTime, unstable.LocalDateTime, unstable.DateTime:
		return "date or time"
	}
	return strings.ToLower(kind.String())
}

func isDuration(field protoreflect.FieldDescriptor) bool {
	return field.Message() != nil && field.Message().FullName() == proto.MessageName((*durationpb.Duration)(nil))
}

// enumPrefixes holds the prefix of the value names of each enumeration of the settings and the document.
var enumPrefixes = map[protoreflect.FullName]string{
	schema.Priority(0).Descriptor().FullName(): "PRIORITY_",
	schema.Once(0).Descriptor().FullName():     "ONCE_",
}

// enumNames returns the names that a text uses for the values of an enumeration, without the unspecified value 0.
func enumNames(enum protoreflect.EnumDescriptor) []string {
	var names []string
	for i := range enum.Values().Len() {
		v := enum.Values().Get(i)
		if v.Number() != 0 {
			names = append(names, enumText(enum, v))
		}
	}
	return names
}

func enumText(enum protoreflect.EnumDescriptor, value protoreflect.EnumValueDescriptor) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(string(value.Name()), enumPrefixes[enum.FullName()])), "_", "-")
}

func enumNumber(enum protoreflect.EnumDescriptor, text string) (protoreflect.EnumNumber, bool) {
	for i := range enum.Values().Len() {
		v := enum.Values().Get(i)
		if v.Number() != 0 && enumText(enum, v) == text {
			return v.Number(), true
		}
	}
	return 0, false
}

// nearest returns the name with the least edit distance.
func nearest(name string, names []string) string {
	best, least := "", math.MaxInt
	for _, n := range names {
		if d := distance(name, n); d < least {
			best, least = n, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of two names; the longer of them is cut to bound the work.
func distance(a, b string) int {
	a, b = a[:min(len(a), maxName)], b[:min(len(b), maxName)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
