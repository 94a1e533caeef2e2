// Package wirecheck compares the messages between entry instances with those of an earlier build, so that both builds understand each other in one fleet.
package wirecheck

import (
	"fmt"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// Incompatible returns what an instance of an earlier build would misread: messages, fields, methods and enum values of it that are missing now or have
// another meaning. Each is one line.
func Incompatible(earlier, now *protoregistry.Files) []string {
	var found []string
	earlier.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		for i := range file.Messages().Len() {
			found = append(found, compareMessage(file.Messages().Get(i), now)...)
		}
		for i := range file.Services().Len() {
			found = append(found, compareService(file.Services().Get(i), now)...)
		}
		return true
	})
	return found
}

func compareMessage(earlier protoreflect.MessageDescriptor, now *protoregistry.Files) []string {
	descriptor, _ := now.FindDescriptorByName(earlier.FullName())
	message, ok := descriptor.(protoreflect.MessageDescriptor)
	if !ok {
		return []string{fmt.Sprintf("%s: message is missing", earlier.FullName())}
	}
	var found []string
	for i := range earlier.Fields().Len() {
		field := earlier.Fields().Get(i)
		current := message.Fields().ByNumber(field.Number())
		switch {
		case current == nil:
			found = append(found, fmt.Sprintf("%s: field %d is missing", field.FullName(), field.Number()))
		case describe(current) != describe(field):
			found = append(found, fmt.Sprintf("%s: field %d was %s, is %s", field.FullName(), field.Number(), describe(field), describe(current)))
		}
	}
	return found
}

// describe returns what decides how a field's bytes are read, and its name, which stands for its meaning.
func describe(field protoreflect.FieldDescriptor) string {
	text := fmt.Sprintf("%s %s %s", field.Cardinality(), field.Kind(), field.Name())
	if message := field.Message(); message != nil {
		text += " of " + string(message.FullName())
	}
	if field.HasPresence() && field.Message() == nil {
		text += " with presence"
	}
	return text
}

func compareService(earlier protoreflect.ServiceDescriptor, now *protoregistry.Files) []string {
	descriptor, _ := now.FindDescriptorByName(earlier.FullName())
	service, ok := descriptor.(protoreflect.ServiceDescriptor)
	if !ok {
		return []string{fmt.Sprintf("%s: service is missing", earlier.FullName())}
	}
	var found []string
	for i := range earlier.Methods().Len() {
		method := earlier.Methods().Get(i)
		current := service.Methods().ByName(method.Name())
		if current == nil || current.Input().FullName() != method.Input().FullName() || current.Output().FullName() != method.Output().FullName() ||
			current.IsStreamingClient() != method.IsStreamingClient() || current.IsStreamingServer() != method.IsStreamingServer() {
			found = append(found, fmt.Sprintf("%s: method is missing or has other messages", method.FullName()))
		}
	}
	return found
}

// Added returns the full names of the messages and fields that an earlier build does not have.
func Added(earlier, now *protoregistry.Files, within protoreflect.FullName) []string {
	var added []string
	now.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		if file.Package().Parent() != within {
			return true
		}
		for i := range file.Messages().Len() {
			added = append(added, addedFields(file.Messages().Get(i), earlier)...)
		}
		return true
	})
	return added
}

func addedFields(message protoreflect.MessageDescriptor, earlier *protoregistry.Files) []string {
	descriptor, _ := earlier.FindDescriptorByName(message.FullName())
	known, ok := descriptor.(protoreflect.MessageDescriptor)
	if !ok {
		return []string{string(message.FullName())}
	}
	var added []string
	for i := range message.Fields().Len() {
		if field := message.Fields().Get(i); known.Fields().ByNumber(field.Number()) == nil {
			added = append(added, string(field.FullName()))
		}
	}
	return added
}
