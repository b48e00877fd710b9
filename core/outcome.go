package core

import (
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
