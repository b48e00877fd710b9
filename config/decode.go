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
	// maxName is the maximum length in bytes of the name of a service, region, failure domain or instance.
	maxName = 64
	// maxSyntaxFaults is the maximum number of syntax errors reported for a text, since later ones are often consequences
	// of the first.
	maxSyntaxFaults = 20
)

// source is a text with the positions of its sections and keys.
type source struct {
	text []byte
	// lineStarts contains the offset of the first byte of each line.
	lineStarts []int
	// offsets maps the paths of sections and keys to their offsets in the text. The path of a definition is prefixed by "=".
	offsets map[string]int
	faults  *ValidationErrors
}

// position returns the 1-based line and column of an offset.
func (s *source) position(offset int) (line, column int) {
	line = sort.SearchInts(s.lineStarts, offset+1)
	return line, offset - s.lineStarts[line-1] + 1
}

// addFault reports an error at an offset.
func (s *source) addFault(offset int, section, key, format string, args ...any) {
	line, column := s.position(offset)
	s.faults.add(ValidationError{Section: section, Key: key, Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

// scope is a table in which keys are resolved: a message, or a map field whose entries are messages. A scope with neither
// is an unknown section, whose keys are ignored.
type scope struct {
	message protoreflect.Message
	entries protoreflect.Map
	path    string
}

// keyPart is one part of a dotted key, with its offset in the text.
type keyPart struct {
	name   string
	offset int
}

// decoder decodes the expressions of a TOML text into a message.
type decoder struct {
	*source
	parser unstable.Parser
	// baseOffset is the offset of the parser's input in the text.
	baseOffset int
	// hasSyntaxError is set after a syntax error, because of which keys may be missing.
	hasSyntaxError bool
	// rejected contains the keys whose values are invalid.
	rejected map[string]bool
}

func newDecoder(text []byte, faults *ValidationErrors) *decoder {
	lines := []int{0}
	for i, b := range text {
		if b == '\n' {
			lines = append(lines, i+1)
		}
	}
	s := &source{text: text, lineStarts: lines, offsets: make(map[string]int), faults: faults}
	return &decoder{source: s, rejected: make(map[string]bool)}
}

// decode decodes all expressions. After a syntax error it continues on the next line.
func (d *decoder) decode(root protoreflect.Message) {
	top := scope{message: root}
	current := top
	for range maxSyntaxFaults {
		d.parser.Reset(d.text[d.baseOffset:])
		for d.parser.NextExpression() {
			current = d.decodeExpression(d.parser.Expression(), top, current)
		}
		if d.parser.Error() == nil || !d.skipSyntaxError(d.parser.Error(), current.path) {
			return
		}
	}
}

// skipSyntaxError reports a syntax error and moves to the next line. It returns false at the end of the text.
func (d *decoder) skipSyntaxError(err error, section string) bool {
	d.hasSyntaxError = true
	offset := d.baseOffset
	message := err.Error()
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		message = syntax.Message
		at := cap(d.parser.Data()) - cap(syntax.Highlight)
		if at >= 0 && at <= len(d.parser.Data()) {
			offset += at
		}
	}
	d.addFault(offset, section, "", "syntax error: %s", message)
	end := bytes.IndexByte(d.text[offset:], '\n')
	if end < 0 {
		return false
	}
	d.baseOffset = offset + end + 1
	return true
}

// decodeExpression decodes one expression and returns the scope of the expressions that follow it.
func (d *decoder) decodeExpression(e *unstable.Node, top, current scope) scope {
	key := d.keyParts(e)
	switch e.Kind {
	case unstable.Table:
		return d.enterSection(top, key)
	case unstable.ArrayTable:
		return d.appendElement(top, key)
	case unstable.KeyValue:
		d.assign(current, key, e.Value())
	}
	return current
}

// keyParts returns the parts of the key of an expression.
func (d *decoder) keyParts(e *unstable.Node) []keyPart {
	var parts []keyPart
	for keys := e.Key(); keys.Next(); {
		n := keys.Node()
		parts = append(parts, keyPart{name: string(n.Data), offset: d.baseOffset + int(n.Raw.Offset)})
	}
	return parts
}

// enterSection returns the scope that a table header starts.
func (d *decoder) enterSection(top scope, key []keyPart) scope {
	s := top
	for _, p := range key {
		s = d.enterTable(s, p)
	}
	if s.isKnown() {
		d.define(s.path, s.path, "", key[0].offset)
	}
	return s
}

// appendElement appends an element to the list that an array-of-tables header names, and returns the scope of the element.
func (d *decoder) appendElement(top scope, key []keyPart) scope {
	s := top
	last := len(key) - 1
	for _, p := range key[:last] {
		s = d.enterTable(s, p)
	}
	field := d.resolveField(s, key[last])
	if s.entries != nil || field != nil && (!field.IsList() || field.Message() == nil) {
		d.addFault(key[last].offset, s.path, key[last].name, "is not a list of sections; write [%s]", joinPath(s.path, key[last].name))
		return d.enterTable(s, key[last])
	}
	if field == nil {
		return scope{path: joinPath(s.path, key[last].name)}
	}
	list := s.message.Mutable(field).List()
	element := scope{message: list.AppendMutable().Message(), path: elementPath(s.path, field, list.Len())}
	d.offsets[element.path] = key[0].offset
	return element
}

func elementPath(path string, field protoreflect.FieldDescriptor, number int) string {
	return fmt.Sprintf("%s[%d]", joinPath(path, string(field.Name())), number)
}

func (s scope) isKnown() bool { return s.message != nil || s.entries != nil }

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// enterTable returns the scope of a table within a scope.
func (d *decoder) enterTable(s scope, p keyPart) scope {
	unknown := scope{path: joinPath(s.path, p.name)}
	if s.entries != nil {
		return d.enterEntry(s, p)
	}
	field := d.resolveField(s, p)
	switch {
	case field == nil:
		return unknown
	case field.IsMap():
		return scope{entries: s.message.Mutable(field).Map(), path: unknown.path}
	case field.IsList() || field.Message() == nil || isDuration(field):
		what := expectedValue(field)
		if field.IsList() {
			what = "a list of sections, [[" + unknown.path + "]]"
		}
		d.addFault(p.offset, s.path, p.name, "is not a section; expected %s", what)
		return unknown
	}
	return scope{message: s.message.Mutable(field).Message(), path: unknown.path}
}

// enterEntry returns the scope of a map entry, which it creates if necessary.
func (d *decoder) enterEntry(s scope, p keyPart) scope {
	path := joinPath(s.path, p.name)
	if _, ok := d.offsets[path]; !ok {
		d.checkEntryName(s, p)
		d.offsets[path] = p.offset
	}
	return scope{message: s.entries.Mutable(protoreflect.ValueOfString(p.name).MapKey()).Message(), path: path}
}

func (d *decoder) checkEntryName(s scope, p keyPart) {
	if !validName(p.name) {
		d.addFault(p.offset, s.path, p.name, "is not a valid name; use 1 to %d of the characters a-z, A-Z, 0-9, '-' and '_'", maxName)
	}
}

func validName(name string) bool {
	valid := func(r rune) bool {
		return r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}
	return name != "" && len(name) <= maxName && strings.IndexFunc(name, func(r rune) bool { return !valid(r) }) < 0
}

// define records the definition of a section or key. It reports a repeated definition and returns false for it.
func (d *decoder) define(path, section, key string, offset int) bool {
	marker := "=" + path
	first, ok := d.offsets[marker]
	if ok {
		line, _ := d.position(first)
		d.addFault(offset, section, key, "is already defined on line %d", line)
		return false
	}
	d.offsets[marker] = offset
	if _, ok := d.offsets[path]; !ok || key != "" {
		d.offsets[path] = offset
	}
	return true
}

// resolveField returns the field that a key names. It reports an unknown key and returns nil for it.
func (d *decoder) resolveField(s scope, p keyPart) protoreflect.FieldDescriptor {
	if s.message == nil {
		return nil
	}
	field := d.lookupField(s, p)
	if field == nil {
		fields := s.message.Descriptor().Fields()
		names := make([]string, 0, fields.Len())
		for i := range fields.Len() {
			names = append(names, string(fields.Get(i).Name()))
		}
		d.addFault(p.offset, s.path, p.name, "is not a known key; did you mean %q?", closestName(p.name, names))
	}
	return field
}

// lookupField returns the field that a key names, or nil for an unknown key.
func (d *decoder) lookupField(s scope, p keyPart) protoreflect.FieldDescriptor {
	if s.message == nil {
		return nil
	}
	return s.message.Descriptor().Fields().ByName(protoreflect.Name(p.name))
}

// assign sets the value of a key, which may be dotted.
func (d *decoder) assign(s scope, key []keyPart, value *unstable.Node) {
	last := len(key) - 1
	for _, p := range key[:last] {
		s = d.enterTable(s, p)
	}
	p := key[last]
	if s.entries != nil {
		if d.define(joinPath(s.path, p.name), s.path, p.name, p.offset) {
			d.checkEntryName(s, p)
			d.decodeInlineTable(d.enterEntry(s, p), s, p, value)
		}
		return
	}
	field := d.resolveField(s, p)
	if field == nil || !d.define(joinPath(s.path, p.name), s.path, p.name, p.offset) {
		return
	}
	d.setField(s, field, p, value)
}

// setField stores a value in a field of the scope's message.
func (d *decoder) setField(s scope, field protoreflect.FieldDescriptor, p keyPart, value *unstable.Node) {
	switch {
	case field.IsMap():
		d.decodeInlineTable(scope{entries: s.message.Mutable(field).Map(), path: joinPath(s.path, p.name)}, s, p, value)
	case field.IsList():
		d.decodeArray(s, field, p, value)
	case field.Message() != nil && !isDuration(field):
		d.decodeInlineTable(scope{message: s.message.Mutable(field).Message(), path: joinPath(s.path, p.name)}, s, p, value)
	default:
		if v, ok := d.decodeScalar(s, field, p, value); ok {
			s.message.Set(field, v)
		}
	}
}

// decodeInlineTable decodes an inline table into the scope inner. Errors in the value itself are reported for the key p of
// the scope outer.
func (d *decoder) decodeInlineTable(inner, outer scope, p keyPart, value *unstable.Node) {
	if value.Kind != unstable.InlineTable {
		d.reject(outer, p, "has a value of type %s; expected a section", kindName(value.Kind))
		return
	}
	for children := value.Children(); children.Next(); {
		n := children.Node()
		if n.Kind == unstable.KeyValue {
			d.assign(inner, d.keyParts(n), n.Value())
		}
	}
}

// decodeArray decodes an array into a repeated field.
func (d *decoder) decodeArray(s scope, field protoreflect.FieldDescriptor, p keyPart, value *unstable.Node) {
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
			d.offsets[element.path] = p.offset
			d.decodeInlineTable(element, s, p, n)
			continue
		}
		if v, ok := d.decodeScalar(s, field, p, n); ok {
			list.Append(v)
		}
	}
}

// reject reports an invalid value. A list field is not marked as rejected, since its other elements may be valid.
func (d *decoder) reject(s scope, p keyPart, format string, args ...any) {
	if field := d.lookupField(s, p); field == nil || !field.IsList() {
		d.rejected[joinPath(s.path, p.name)] = true
	}
	d.addFault(p.offset, s.path, p.name, format, args...)
}

// decodeScalar converts a value to the type of the field.
func (d *decoder) decodeScalar(s scope, field protoreflect.FieldDescriptor, p keyPart, value *unstable.Node) (protoreflect.Value, bool) {
	mismatch := func() (protoreflect.Value, bool) {
		d.reject(s, p, "has a value of type %s; expected %s", kindName(value.Kind), expectedValue(field))
		return protoreflect.Value{}, false
	}
	invalid := func() (protoreflect.Value, bool) {
		d.reject(s, p, "has the value %s; expected %s", quote(value.Data), expectedValue(field))
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

// quote quotes a value for an error message, truncated to a readable length.
func quote(data []byte) string {
	const maxQuoted = 40
	if len(data) > maxQuoted {
		data = data[:maxQuoted]
	}
	return strconv.Quote(string(data))
}

// scalarKind returns the TOML type that corresponds to the type of a field.
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

// expectedValue describes the valid values of a field for an error message.
func expectedValue(field protoreflect.FieldDescriptor) string {
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

// enumPrefixes contains, for each enumeration in the settings and the document, the common prefix of its value names.
var enumPrefixes = map[protoreflect.FullName]string{
	schema.Priority(0).Descriptor().FullName(): "PRIORITY_",
	schema.Once(0).Descriptor().FullName():     "ONCE_",

	schema.RetryOrder(0).Descriptor().FullName(): "RETRY_ORDER_",
}

// enumNames returns the TOML names of the values of an enumeration, without the unspecified value 0.
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

// enumText returns the TOML name of a value, such as "high" for PRIORITY_HIGH.
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

// closestName returns the element of names with the smallest edit distance from name.
func closestName(name string, names []string) string {
	best, least := "", math.MaxInt
	for _, n := range names {
		if d := editDistance(name, n); d < least {
			best, least = n, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two names. Names longer than maxName are truncated to bound the work.
func editDistance(a, b string) int {
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
