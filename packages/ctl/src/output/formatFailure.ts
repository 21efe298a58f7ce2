import type { Failure } from "@ibislanding/core";
import type { ValidationIssue } from "@ibislanding/resources";

const formatIssue = ({ resource, field, value, reason }: ValidationIssue): string =>
    `  ${[resource, field].filter(Boolean).join(" ")}: ${reason}${value === "" ? "" : ` (value: ${value})`}`;

/** Formats a failure for the standard error stream: one line, then one for each validation issue. */
export const formatFailure = ({ code, message, details }: Failure): string => {
    const issues = Array.isArray(details?.issues) ? details.issues as readonly ValidationIssue[] : [];
    const operationId = typeof details?.operationId === "string" ? ` [operation ${details.operationId}]` : "";
    return [`ibisctl: ${code}: ${message}${operationId}`, ...issues.map(formatIssue)].join("\n");
};
