// Command generator writes the Go code of .proto files into their folders, without protoc:
//
//	go run ./generator forwarder/forwarderpb/hop.proto registrar/registrarpb/*.proto
//
// The plugins are pinned as tools in go.mod. Code for services is written only for files that define one.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	for _, path := range os.Args[1:] {
		if err := generate(path); err != nil {
			fmt.Fprintln(os.Stderr, "generator:", err)
			os.Exit(1)
		}
	}
}

// generate writes the code of one file. Its path must be relative to the module's root, as it is part of the generated code.
func generate(path string) error {
	cm := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := cm.Compile(context.Background(), path)
	if err != nil {
		return err
	}
	rq := request(files[0])
	if err := run("protoc-gen-go", rq, filepath.Dir(path)); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if files[0].Services().Len() == 0 {
		return nil
	}
	// The code of services goes into the package of the messages.
	rq.Parameter = proto.String(rq.GetParameter() + ",package_suffix")
	if err := run("protoc-gen-connect-go", rq, filepath.Dir(path)); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// request returns the plugins' input for a file, with its imports before it.
func request(file linker.File) *pluginpb.CodeGeneratorRequest {
	rq := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file.Path()}, Parameter: proto.String("paths=source_relative"),
	}
	seen := map[string]bool{}
	var add func(protoreflect.FileDescriptor)
	add = func(fd protoreflect.FileDescriptor) {
		if seen[fd.Path()] {
			return
		}
		seen[fd.Path()] = true
		for at := range fd.Imports().Len() {
			add(fd.Imports().Get(at))
		}
		rq.ProtoFile = append(rq.ProtoFile, descriptorOf(fd))
	}
	add(file)
	return rq
}

// descriptorOf returns a file's descriptor, with its comments if it was compiled from source.
func descriptorOf(fd protoreflect.FileDescriptor) *descriptorpb.FileDescriptorProto {
	if res, ok := fd.(linker.Result); ok {
		return res.FileDescriptorProto()
	}
	return protodesc.ToFileDescriptorProto(fd)
}

// run passes a request to a plugin and writes the files that it returns into a folder.
func run(plugin string, rq *pluginpb.CodeGeneratorRequest, folder string) error {
	in, err := proto.Marshal(rq)
	if err != nil {
		return err
	}
	cmd := exec.Command("go", "tool", plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(in), os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("%s: %w", plugin, err)
	}
	var rs pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &rs); err != nil {
		return err
	}
	if rs.Error != nil {
		return fmt.Errorf("%s: %s", plugin, rs.GetError())
	}
	for _, file := range rs.GetFile() {
		if err := os.WriteFile(filepath.Join(folder, filepath.Base(file.GetName())), []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
