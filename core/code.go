package core

import (
	"errors"
	"fmt"
)

// Code is a numbered result code. Codes are stable: a number is never reused for another meaning.
type Code int

// Result codes. The thousands digit gives the family: 0 success, 1 partial answers and reasons for single shards,
// 2 bad input, 3 not run, 4 outcome unknown or in progress, 5 configuration, 6 settings, 9 internal.
const (
	CodeOK Code = 0

	CodePartial            Code = 1000
	CodeDeadlineExceeded   Code = 1001
	CodeUnreachable        Code = 1002
	CodeVersionMissing     Code = 1003
	CodeShed               Code = 1004
	CodeUpstreamError      Code = 1005
	CodeNoReplica          Code = 1006
	CodeCancelled          Code = 1007
	CodeOutOfReach         Code = 1008
	CodeConfigurationStale Code = 1009
	CodeConnectionLost     Code = 1010

	CodeBadRequest       Code = 2000
	CodeUnknownService   Code = 2001
	CodeUnknownShard     Code = 2002
	CodeBadDeadline      Code = 2003
	CodeBodyTooLarge     Code = 2004
	CodeBadName          Code = 2005
	CodeNotFound         Code = 2006
	CodeUnauthorized     Code = 2007
	CodeBadWriteTarget   Code = 2008
	CodeMethodNotAllowed Code = 2009
	CodeRequestIDReused  Code = 2010
	CodeUnknownRoute     Code = 2011

	CodeNotRun              Code = 3000
	CodeOverloaded          Code = 3001
	CodeRateLimited         Code = 3002
	CodeDraining            Code = 3003
	CodeNotOwner            Code = 3004
	CodeNotReady            Code = 3005
	CodePlatformUnavailable Code = 3006
	CodeExpired             Code = 3007
	CodeConnectFailed       Code = 3008
	CodeUpstreamMoved       Code = 3009
	CodeUpstreamPaused      Code = 3010

	CodeOutcomeUnknown Code = 4000
	CodeInProgress     Code = 4001
	CodeAlreadyRan     Code = 4002

	CodeBaseMoved        Code = 5000
	CodePlanExpired      Code = 5001
	CodePlanNotFound     Code = 5002
	CodeInvalidIntent    Code = 5003
	CodeNotKnownYet      Code = 5004
	CodeAlreadyConfirmed Code = 5005
	CodeConflict         Code = 5006
	CodeHistoryGone      Code = 5007
	CodeTableUnreadable  Code = 5008

	CodeBadSettings   Code = 6000
	CodeUnknownPlugin Code = 6001

	CodeInternal Code = 9000
)

// CodeInfo describes one result code, for docs/result-codes.md and for error bodies.
type CodeInfo struct {
	Code    Code
	Name    string
	Meaning string
}

var codeTable = []CodeInfo{
	{CodeOK, "ok", "The answer covers every requested shard."},
	{CodePartial, "partial", "The answer covers some of the requested shards; the others are listed with a reason."},
	{CodeDeadlineExceeded, "deadline_exceeded", "No result arrived before the deadline."},
	{CodeUnreachable, "unreachable", "No VM that can reach the shard answered."},
	{CodeVersionMissing, "version_missing", "No replica of the shard holds the index version of the answer."},
	{CodeShed, "shed", "Replicas of the shard refused the work because of load; no attempt failed for another reason."},
	{CodeUpstreamError, "upstream_error", "The upstream answered with an error."},
	{CodeNoReplica, "no_replica", "The shard has no replica that takes work."},
	{CodeCancelled, "cancelled", "The caller disconnected or the attempt was cancelled."},
	{CodeOutOfReach, "out_of_reach", "The rule of the service does not allow queries to the shard's failure domains."},
	{CodeConfigurationStale, "configuration_stale", "The VM has had no contact with the platform; its configuration may be old."},
	{CodeConnectionLost, "connection_lost", "The connection was lost after the sub-request was sent."},

	{CodeBadRequest, "bad_request", "The request is malformed."},
	{CodeUnknownService, "unknown_service", "The service does not exist in the configuration in force."},
	{CodeUnknownShard, "unknown_shard", "A requested shard does not exist in the layout of the index version."},
	{CodeBadDeadline, "bad_deadline", "The deadline is missing, not positive or above the limit of the service."},
	{CodeBodyTooLarge, "body_too_large", "The request body is larger than the limit of the listener."},
	{CodeBadName, "bad_name", "A name is empty, too long or has characters that are not allowed."},
	{CodeNotFound, "not_found", "The path or object does not exist."},
	{CodeUnauthorized, "unauthorized", "The credentials are missing or wrong."},
	{CodeBadWriteTarget, "bad_write_target", "A non-idempotent request must name exactly one shard."},
	{CodeMethodNotAllowed, "method_not_allowed", "The path does not support the method."},
	{CodeRequestIDReused, "request_id_reused", "The request ID belongs to an earlier request with another content."},
	{CodeUnknownRoute, "unknown_route", "No route of the routing table in force matches the host and the path."},

	{CodeNotRun, "not_run", "The request did not run."},
	{CodeOverloaded, "overloaded", "The request was refused before it ran because queues are full."},
	{CodeRateLimited, "rate_limited", "The request was refused before it ran because the caller's rate is used up."},
	{CodeDraining, "draining", "The upstream or VM is leaving and takes no new work."},
	{CodeNotOwner, "not_owner", "The VM does not own the upstream; the sub-request did not run."},
	{CodeNotReady, "not_ready", "The VM has no configuration yet or is stopping."},
	{CodePlatformUnavailable, "platform_unavailable", "The platform's object API did not answer; nothing was run or changed."},
	{CodeExpired, "expired", "The deadline had passed before the work began."},
	{CodeConnectFailed, "connect_failed", "No connection could be opened; nothing was sent."},
	{CodeUpstreamMoved, "upstream_moved", "The address now belongs to another upstream; the request did not run."},
	{CodeUpstreamPaused, "upstream_paused", "The upstream asked for a pause or is leaving; nothing was sent to it."},

	{CodeOutcomeUnknown, "outcome_unknown", "The request was sent and its outcome is not known; it is not sent again."},
	{CodeInProgress, "in_progress", "A request with the same ID is running."},
	{CodeAlreadyRan, "already_ran", "A request with the same ID ran before; its answer was too large to keep."},

	{CodeBaseMoved, "base_moved", "The configuration changed after the plan was made."},
	{CodePlanExpired, "plan_expired", "The plan is older than its lifetime."},
	{CodePlanNotFound, "plan_not_found", "No plan has this ID."},
	{CodeInvalidIntent, "invalid_intent", "The intent has problems; all of them are listed."},
	{CodeNotKnownYet, "not_known_yet", "It is not known whether the write to the platform took effect; confirming again is safe."},
	{CodeAlreadyConfirmed, "already_confirmed", "The plan is already part of the history."},
	{CodeConflict, "conflict", "The object changed since it was read."},
	{CodeHistoryGone, "history_gone", "The store no longer has the history that the watch needs; list again."},
	{CodeTableUnreadable, "table_unreadable", "The routing table in the store cannot be read; the one in force stays."},

	{CodeBadSettings, "bad_settings", "The settings have problems; all of them are listed with their paths."},
	{CodeUnknownPlugin, "unknown_plugin", "The settings name a plug-in that is not linked."},

	{CodeInternal, "internal", "An internal error; see the log."},
}

var codeIndex = indexCodes()

func indexCodes() map[Code]CodeInfo {
	index := make(map[Code]CodeInfo, len(codeTable))
	for _, info := range codeTable {
		index[info.Code] = info
	}
	return index
}

// Codes returns all result codes in ascending order.
func Codes() []CodeInfo { return append([]CodeInfo(nil), codeTable...) }

// CodeByName returns the code with the given name and whether it exists.
func CodeByName(name string) (Code, bool) {
	for _, info := range codeTable {
		if info.Name == name {
			return info.Code, true
		}
	}
	return 0, false
}

// String returns the stable name of the code.
func (c Code) String() string {
	if info, ok := codeIndex[c]; ok {
		return info.Name
	}
	return fmt.Sprintf("code_%d", int(c))
}

// Meaning returns the sentence that describes the code, or "" for an unknown code.
func (c Code) Meaning() string { return codeIndex[c].Meaning }

// IsNotRun reports whether the code guarantees that the request did not run.
func (c Code) IsNotRun() bool { return c >= CodeNotRun && c < CodeOutcomeUnknown }

// Error is an error with a result code.
type Error struct {
	Code   Code
	Detail string
	// Problems lists every problem of a rejected input.
	Problems []Problem
}

// Problem is one error in an input, with the path of the field.
type Problem struct {
	Path   string `json:"path"`
	Detail string `json:"detail"`
}

// Errorf returns an Error with a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%d)", e.Code, int(e.Code))
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	for _, p := range e.Problems {
		text += fmt.Sprintf("; %s: %s", p.Path, p.Detail)
	}
	return text
}

// CodeOf returns the code of an error: CodeOK for nil, CodeInternal for an error without one.
func CodeOf(err error) Code {
	var coded *Error
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &coded):
		return coded.Code
	default:
		return CodeInternal
	}
}
