import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { ValidationIssue } from "@ibislanding/resources";

const MAXIMUM_ISSUES = 200;

/** Creates the failure with all validation issues, up to a maximum; its message describes the first. */
export const invalidResource = (issues: readonly ValidationIssue[]): Failure => {
    const first = issues[0];
    const message = first === undefined
        ? undefined
        : `${[first.resource, first.field].filter(Boolean).join(" ")}: ${first.reason} (value: ${first.value})`;
    const others = issues.length > 1 ? `; ${issues.length - 1} more in details.issues` : "";
    return createFailure(ErrorCode.InvalidResource, {
        ...(message === undefined ? {} : { message: `${message}${others}` }),
        details: { issues: issues.slice(0, MAXIMUM_ISSUES), issueCount: issues.length },
    });
};
