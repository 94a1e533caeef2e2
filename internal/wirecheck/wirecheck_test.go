package wirecheck

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"

	_ "plumbarrow.example/plumbarrow/canary/canarypb"
	_ "plumbarrow.example/plumbarrow/ledger/ledgerpb"
	_ "plumbarrow.example/plumbarrow/link/linkpb"
	_ "plumbarrow.example/plumbarrow/machine/machinepb"
	_ "plumbarrow.example/plumbarrow/mirror/mirrorpb"
	_ "plumbarrow.example/plumbarrow/quarantine/quarantinepb"
	_ "plumbarrow.example/plumbarrow/replica/replicapb"
	_ "plumbarrow.example/plumbarrow/rollout/rolloutpb"
	_ "plumbarrow.example/plumbarrow/upstream/upstreampb"
	_ "plumbarrow.example/plumbarrow/zone/zonepb"
)

func storedSet(c *qt.C) *descriptorpb.FileDescriptorSet {
	data, err := os.ReadFile("testdata/wire-60e72ea.desc")
	c.Assert(err, qt.IsNil)
	set := &descriptorpb.FileDescriptorSet{}
	c.Assert(proto.Unmarshal(data, set), qt.IsNil)
	return set
}

func filesOf(c *qt.C, set *descriptorpb.FileDescriptorSet) *protoregistry.Files {
	files, err := protodesc.NewFiles(set)
	c.Assert(err, qt.IsNil)
	return files
}

// TestWire guards against fleets of two builds that misread each other: what 60e72ea sends and expects is unchanged, and each addition is described in
// docs/UPGRADE.md.
func TestWire(t *testing.T) {
	c := qt.New(t)
	earlier := filesOf(c, storedSet(c))
	c.Check(Incompatible(earlier, protoregistry.GlobalFiles), qt.HasLen, 0)
	page, err := os.ReadFile("../../docs/UPGRADE.md")
	c.Assert(err, qt.IsNil)
	added := Added(earlier, protoregistry.GlobalFiles, "plumbarrow")
	c.Check(len(added) > 0, qt.IsTrue)
	for _, name := range added {
		row := "| `" + strings.TrimPrefix(name, "plumbarrow.") + "` |"
		c.Check(strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("docs/UPGRADE.md has no row that begins with %s", row))
	}
}

// TestIncompatible checks that each kind of change that an earlier build would misread is found.
func TestIncompatible(t *testing.T) {
	c := qt.New(t)
	fieldOf := func(set *descriptorpb.FileDescriptorSet, message, field string) *descriptorpb.FieldDescriptorProto {
		for _, file := range set.File {
			for _, m := range file.MessageType {
				for _, f := range m.Field {
					if file.GetPackage()+"."+m.GetName() == message && f.GetName() == field {
						return f
					}
				}
			}
		}
		return nil
	}
	revision := func(set *descriptorpb.FileDescriptorSet) *descriptorpb.FieldDescriptorProto {
		return fieldOf(set, "plumbarrow.mirror.Document", "revision")
	}
	for name, play := range map[string]struct {
		change func(set *descriptorpb.FileDescriptorSet)
		want   string
	}{
		"nothing": {func(*descriptorpb.FileDescriptorSet) {}, ""},
		"name":    {func(s *descriptorpb.FileDescriptorSet) { revision(s).Name = proto.String("version") }, "is optional uint64 version"},
		"type": {func(s *descriptorpb.FileDescriptorSet) {
			revision(s).Type = descriptorpb.FieldDescriptorProto_TYPE_FIXED64.Enum()
		}, "is optional fixed64"},
		"number": {func(s *descriptorpb.FileDescriptorSet) { revision(s).Number = proto.Int32(99) }, "field 3 is missing"},
		"repeated": {func(s *descriptorpb.FileDescriptorSet) {
			revision(s).Label = descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
		}, "is repeated uint64"},
		"message": {func(s *descriptorpb.FileDescriptorSet) {
			fieldOf(s, "plumbarrow.mirror.ChangesReply", "documents").TypeName = proto.String(".plumbarrow.mirror.Position")
		}, "of plumbarrow.mirror.Position"},
		"method": {func(s *descriptorpb.FileDescriptorSet) {
			for _, file := range s.File {
				if file.GetPackage() == "plumbarrow.mirror" {
					file.Service[0].Method[0].Name = proto.String("Other")
				}
			}
		}, "Changes: method is missing"},
	} {
		set := storedSet(c)
		play.change(set)
		found := strings.Join(Incompatible(filesOf(c, storedSet(c)), filesOf(c, set)), "\n")
		c.Check(strings.Contains(found, play.want) && (found == "") == (play.want == ""), qt.IsTrue, qt.Commentf("%s: %q", name, found))
	}
	empty := &protoregistry.Files{}
	stored := filesOf(c, storedSet(c))
	c.Check(len(Incompatible(stored, empty)) >= stored.NumFiles(), qt.IsTrue)
	c.Check(Added(empty, stored, protoreflect.FullName("plumbarrow")), qt.Contains, "plumbarrow.mirror.Document")
}
