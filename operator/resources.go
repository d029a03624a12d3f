package operator

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/resource"
)

type resourceList struct {
	// Version is the version of the configuration as a whole.
	Version   uint64
	Resources []resource.Document
}

// resourceAnswer is a resource with where its version is in force.
type resourceAnswer struct {
	resource.Document
	Status resourceStatus
}

type resourceStatus struct {
	InForceOn []string
	Behind    []string
}

type writeAnswer struct {
	Version uint64
}

func (s *Server) listResources(ctx iris.Context) *Error {
	state := s.control.Snapshot().State
	list := resourceList{Version: state.ConfigVersion, Resources: state.Documents(resource.Kind(ctx.URLParam("Kind")))}
	if list.Resources == nil {
		list.Resources = []resource.Document{}
	}
	_ = ctx.JSON(list)
	return nil
}

func (s *Server) getResource(ctx iris.Context) *Error {
	ref, refusal := refOf(ctx)
	if refusal != nil {
		return refusal
	}
	doc, exists := s.control.Snapshot().State.Document(ref)
	if !exists {
		return notFound("get", ref.String())
	}
	answer := resourceAnswer{Document: doc}
	answer.Status.InForceOn, answer.Status.Behind = inForce(s.control.Peers(), doc.Version)
	_ = ctx.JSON(answer)
	return nil
}

// expected returns the version that the operator expects to replace. Without one, the version that is
// in force here is taken.
func (s *Server) expected(ctx iris.Context, ref resource.Ref) (uint64, *Error) {
	if text := ctx.URLParam("Expect"); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, badRequest("parse Expect", err)
		}
		return version, nil
	}
	doc, _ := s.control.Snapshot().State.Document(ref)
	return doc.Version, nil
}

func (s *Server) putResource(ctx iris.Context) *Error {
	ref, refusal := refOf(ctx)
	if refusal != nil {
		return refusal
	}
	if ref.Kind == resource.KindKey {
		return badRequest("put", errors.New("keys are made by POST /v1/keys and ended by a withdrawal"))
	}
	spec, err := io.ReadAll(ctx.Request().Body)
	if err != nil {
		return badRequest("read body", err)
	}
	doc := resource.Document{Kind: ref.Kind, Name: ref.Name, Spec: spec}
	if err := resource.Check(doc); err != nil {
		return badRequest("put", err)
	}
	expect, refusal := s.expected(ctx, ref)
	if refusal != nil {
		return refusal
	}
	return s.write(ctx, catalog.Write{Document: doc, Expect: expect})
}

func (s *Server) deleteResource(ctx iris.Context) *Error {
	ref, refusal := refOf(ctx)
	if refusal != nil {
		return refusal
	}
	expect, refusal := s.expected(ctx, ref)
	if refusal != nil {
		return refusal
	}
	if expect == 0 {
		return notFound("delete", ref.String())
	}
	return s.write(ctx, catalog.Write{Document: resource.Document{Kind: ref.Kind, Name: ref.Name, Spec: []byte("{}")}, Expect: expect, Delete: true})
}

// write appends a write and answers with the version that it made.
func (s *Server) write(ctx iris.Context, write catalog.Write) *Error {
	if !s.control.Snapshot().Ready {
		return &Error{Op: "write", Kind: "NotReady", Status: http.StatusServiceUnavailable, Err: errors.New("this VM does not hold the agreed state yet")}
	}
	verdict, err := s.control.Append(requestContext(ctx), catalog.Record{ID: ctx.GetHeader("Operation-Id"), Actor: actor(ctx), Write: &write})
	if err != nil {
		return fromControl("write "+write.Document.Ref().String(), err)
	}
	_ = ctx.JSON(writeAnswer{Version: verdict.Offset})
	return nil
}
