package core

import (
	"net/http"
	"strings"

	"verbenareel/schema"
)

// ReasonName returns the name of a reason as it appears in metrics, logs and headers, such as "ticket-required".
func ReasonName(reason schema.Reason) string {
	return enumName(reason.String(), "REASON_")
}

// StatusName returns "answered", "not-run" or "unknown".
func StatusName(status schema.Status) string {
	return enumName(status.String(), "STATUS_")
}

// StateName returns the name of an instance state, such as "out-of-service".
func StateName(state schema.InstanceState) string {
	return enumName(state.String(), "INSTANCE_STATE_")
}

func enumName(name, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, prefix)), "_", "-")
}

// NotRun returns the reply to a call that did not run.
func NotRun(reason schema.Reason) *schema.ExecuteReply {
	return newUnansweredReply(schema.Status_STATUS_NOT_RUN, reason)
}

// Unknown returns the reply to a call that may have run.
func Unknown(reason schema.Reason) *schema.ExecuteReply {
	return newUnansweredReply(schema.Status_STATUS_UNKNOWN, reason)
}

func newUnansweredReply(status schema.Status, reason schema.Reason) *schema.ExecuteReply {
	return schema.ExecuteReply_builder{Status: status, Reason: reason}.Build()
}

// CheckRefusal returns the reply to a call that must not run twice. Callers take some status codes for a promise that the
// request did not run. The response of a backend server that has run it keeps no such promise, so it becomes an unknown
// outcome. A backend server that did not run the request marks its response, which is then not of status ANSWERED.
func CheckRefusal(reply *schema.ExecuteReply) *schema.ExecuteReply {
	if reply.GetStatus() != schema.Status_STATUS_ANSWERED || !promisesNotRun(int(reply.GetCode())) {
		return reply
	}
	unknown := Unknown(schema.Reason_REASON_UNMARKED_REFUSAL)
	unknown.SetRetried(reply.GetRetried())
	unknown.SetLoad(reply.GetLoad())
	unknown.SetNextTicket(reply.GetNextTicket())
	return unknown
}

// promisesNotRun reports whether callers take an HTTP status code for a promise that the request did not run.
func promisesNotRun(code int) bool {
	switch code {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// notRunCodes maps the reasons of calls that did not run to HTTP status codes. All other reasons map to 503.
var notRunCodes = map[schema.Reason]int{
	schema.Reason_REASON_RETRY_BUDGET:    http.StatusTooManyRequests,
	schema.Reason_REASON_QUOTA:           http.StatusTooManyRequests,
	schema.Reason_REASON_TICKET_REQUIRED: http.StatusPreconditionRequired,
	schema.Reason_REASON_TICKET_INVALID:  http.StatusBadRequest,
	schema.Reason_REASON_TICKET_MISMATCH: http.StatusUnprocessableEntity,
	schema.Reason_REASON_TICKET_CLOSED:   http.StatusConflict,
	schema.Reason_REASON_MALFORMED:       http.StatusBadRequest,
	schema.Reason_REASON_DEPTH:           http.StatusBadRequest,
	schema.Reason_REASON_NO_RULE:         http.StatusNotFound,
	schema.Reason_REASON_UNKNOWN_KEY:     http.StatusUnauthorized,
	schema.Reason_REASON_TOO_LARGE:       http.StatusRequestEntityTooLarge,
}

// OutcomeCode returns the HTTP status code for an unanswered call.
func OutcomeCode(status schema.Status, reason schema.Reason) int {
	if status == schema.Status_STATUS_NOT_RUN {
		if code, ok := notRunCodes[reason]; ok {
			return code
		}
		return http.StatusServiceUnavailable
	}
	if reason == schema.Reason_REASON_UNKNOWN_KEY {
		// An earlier attempt with the ticket of the call may have run, but this one was not authenticated either.
		return http.StatusUnauthorized
	}
	if reason == schema.Reason_REASON_DEADLINE || reason == schema.Reason_REASON_CONNECTION_SILENT {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
