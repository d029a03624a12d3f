package operator

import (
	"fmt"

	"github.com/kataras/iris/v12"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/resource"
)

type keyRequest struct {
	Name    string
	Account string
}

type keyResponse struct {
	Name    string
	Version uint64
	// Secret is returned only here. Only its hash is stored.
	Secret string
}

func (s *Server) createKey(ctx iris.Context) *Error {
	var request keyRequest
	if err := ctx.ReadJSON(&request); err != nil {
		return badRequest("parse body", err)
	}
	account := resource.Ref{Kind: resource.KindClientAccount, Name: request.Account}
	if _, exists := s.control.Snapshot().State.Document(account); !exists {
		return notFound("create key", account.String())
	}
	secret := resource.NewSecret()
	doc, err := resource.Encode(resource.KindKey, request.Name, resource.Key{Account: request.Account, Hash: resource.HashSecret(secret)})
	if err == nil {
		err = resource.Check(doc)
	}
	if err != nil {
		return badRequest("create key", err)
	}
	verdict, err := s.control.Append(requestContext(ctx), catalog.Record{Actor: actor(ctx), Write: &catalog.Write{Document: doc}})
	if err != nil {
		return translateControlError("create key", err)
	}
	_ = ctx.JSON(keyResponse{Name: request.Name, Version: verdict.Offset, Secret: secret})
	return nil
}

type withdrawResponse struct {
	// State is Logged, or Pending while the withdrawal is not yet in the log.
	State  string
	Told   []string
	Untold []string
}

func (s *Server) withdrawKey(ctx iris.Context) *Error {
	result, err := s.control.WithdrawKey(requestContext(ctx), ctx.Params().Get("name"), actor(ctx))
	if err != nil {
		return notFound("withdraw", fmt.Sprintf("key %q", ctx.Params().Get("name")))
	}
	response := withdrawResponse{State: "Pending", Told: result.Told, Untold: result.Untold}
	if result.Logged {
		response.State = "Logged"
	}
	_ = ctx.JSON(response)
	return nil
}
