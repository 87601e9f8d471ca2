package callerapi

import (
	"strings"
	"unicode"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

func checkQuery(q api.QueryRequest) *result.Error {
	return firstError(
		checkCommonFields(q.RequestID, q.Service, q.Caller),
		checkRange("limit", q.Limit, 0, maxLimit),
		checkRange("budget_ms", q.BudgetMS, 0, api.MaxBudgetMS),
	)
}

// maxLimit is the highest valid limit on hits in a query. The service's own limit,
// which is lower, applies as well.
const maxLimit = 1_000_000

func checkPermit(p api.PermitRequest) *result.Error {
	return firstError(
		checkCommonFields(p.RequestID, p.Service, p.Caller),
		checkRange("count", p.Count, 0, api.MaxPermits),
	)
}

func checkSubmit(s api.SubmitRequest) *result.Error {
	if err := checkCommonFields(s.RequestID, s.Service, s.Caller); err != nil {
		return err
	}
	if s.Permit == "" {
		return result.FieldErrorf(result.PermitRequired, "permit", "is missing; POST %s first", api.PathPermit)
	}
	if s.Key >= keyrange.End {
		return result.FieldErrorf(result.InvalidValue, "key", "got %d, want less than %d", s.Key, keyrange.End)
	}
	return checkRange("budget_ms", s.BudgetMS, 0, api.MaxBudgetMS)
}

func checkCommonFields(requestID, service, caller string) *result.Error {
	if err := checkName("service", service); err != nil {
		return err
	}
	if err := checkName("caller", caller); err != nil {
		return err
	}
	if requestID == "" {
		return nil
	}
	return checkName("request_id", requestID)
}

func checkName(field, name string) *result.Error {
	if name == "" || len(name) > api.MaxNameBytes || !isPrintable(name) {
		return result.FieldErrorf(result.InvalidValue, field, "want 1 to %d bytes of printable text", api.MaxNameBytes)
	}
	return nil
}

func isPrintable(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) })
}

func checkRange(field string, v, low, high int) *result.Error {
	if v < low || v > high {
		return result.FieldErrorf(result.InvalidValue, field, "got %d, want %d to %d", v, low, high)
	}
	return nil
}

func firstError(errors ...*result.Error) *result.Error {
	for _, err := range errors {
		if err != nil {
			return err
		}
	}
	return nil
}
