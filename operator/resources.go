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
	// Version is the version of the whole configuration.
	Version   uint64
	Resources []resource.Document
}

// resourceResponse holds a resource and the VMs on which its version is in force.
type resourceResponse struct {
	resource.Document
	Status resourceStatus
}

type resourceStatus struct {
	InForceOn []string
	Behind    []string
}

type writeResponse struct {
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
	ref, refusal := refParam(ctx)
	if refusal != nil {
		return refusal
	}
	doc, exists := s.control.Snapshot().State.Document(ref)
	if !exists {
		return notFound("get", ref.String())
	}
	response := resourceResponse{Document: doc}
	response.Status.InForceOn, response.Status.Behind = splitByVersion(s.control.Peers(), doc.Version)
	_ = ctx.JSON(response)
	return nil
}

// expectedVersion returns the version that the operator expects to replace. If the request gives none, it
// returns the version in force on this VM.
func (s *Server) expectedVersion(ctx iris.Context, ref resource.Ref) (uint64, *Error) {
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
	ref, refusal := refParam(ctx)
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
	expect, refusal := s.expectedVersion(ctx, ref)
	if refusal != nil {
		return refusal
	}
	return s.appendWrite(ctx, catalog.Write{Document: doc, Expect: expect})
}

func (s *Server) deleteResource(ctx iris.Context) *Error {
	ref, refusal := refParam(ctx)
	if refusal != nil {
		return refusal
	}
	expect, refusal := s.expectedVersion(ctx, ref)
	if refusal != nil {
		return refusal
	}
	if expect == 0 {
		return notFound("delete", ref.String())
	}
	return s.appendWrite(ctx, catalog.Write{Document: resource.Document{Kind: ref.Kind, Name: ref.Name, Spec: []byte("{}")}, Expect: expect, Delete: true})
}

// appendWrite appends a write to the log and responds with the resulting version.
func (s *Server) appendWrite(ctx iris.Context, write catalog.Write) *Error {
	if !s.control.Snapshot().Ready {
		return &Error{Op: "write", Kind: "NotReady", Status: http.StatusServiceUnavailable, Err: errors.New("this VM does not hold the agreed state yet")}
	}
	verdict, err := s.control.Append(requestContext(ctx), catalog.Record{ID: ctx.GetHeader("Operation-Id"), Actor: actor(ctx), Write: &write})
	if err != nil {
		return translateControlError("write "+write.Document.Ref().String(), err)
	}
	_ = ctx.JSON(writeResponse{Version: verdict.Offset})
	return nil
}
