package operator

import (
	"github.com/kataras/iris/v12"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/resource"
)

type auditList struct {
	Changes []catalog.Change
}

// audit lists the retained changes, including rejected ones.
func (s *Server) audit(ctx iris.Context) *Error {
	from, refusal := fromParam(ctx)
	if refusal != nil {
		return refusal
	}
	ref := resource.Ref{Kind: resource.Kind(ctx.URLParam("Kind")), Name: ctx.URLParam("Name")}
	list := auditList{Changes: s.control.AuditTrail(from, ref)}
	if list.Changes == nil {
		list.Changes = []catalog.Change{}
	}
	_ = ctx.JSON(list)
	return nil
}
