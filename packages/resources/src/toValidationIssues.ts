import type { z } from "zod";
import type { ValidationIssue } from "./validationIssue";

const MAXIMUM_VALUE_LENGTH = 80;

const valueAt = (input: unknown, path: readonly PropertyKey[]): unknown =>
    path.reduce<unknown>(
        (
            value,
            key,
        ) => (typeof value === "object" && value !== null ? (value as Record<PropertyKey, unknown>)[key] : undefined),
        input,
    );

const formatValue = (value: unknown): string => (JSON.stringify(value) ?? "missing").slice(0, MAXIMUM_VALUE_LENGTH);

/** Converts Zod issues to validation issues; `prefix` is prepended to each field path. */
export const toValidationIssues = (
    error: z.ZodError,
    input: unknown,
    resource: string,
    prefix: readonly string[] = [],
): readonly ValidationIssue[] =>
    error.issues.map(issue => ({
        resource,
        field: [...prefix, ...issue.path.map(String)].join("."),
        value: formatValue(valueAt(input, issue.path)),
        reason: issue.message,
    }));
