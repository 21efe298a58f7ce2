import type { RequestedChange } from "@ibislanding/configuration";
import type { Failure, Revision } from "@ibislanding/core";
import { parseManifest, resourceKinds, toValidationIssues, type ValidationIssue } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import * as z from "zod";
import { invalidResource } from "./invalidResource";

const MAXIMUM_CHANGES = 1_000;
const MAXIMUM_NAME_LENGTH = 63;

const expectedVersion = z.int().min(0).transform(version => version as Revision).optional();

const changeSchema = z.discriminatedUnion("action", [
    z.strictObject({ action: z.literal("apply"), manifest: z.unknown(), expectedVersion }),
    z.strictObject({
        action: z.literal("delete"),
        kind: z.enum(resourceKinds),
        name: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
        expectedVersion,
    }),
]);

const operationSchema = z.strictObject({ changes: z.array(changeSchema).min(1).max(MAXIMUM_CHANGES) });

type ParsedChange = z.infer<typeof changeSchema>;

const toChange = (change: ParsedChange): Result<RequestedChange, readonly ValidationIssue[]> =>
    change.action === "delete"
        ? Ok(change)
        : parseManifest(change.manifest).map(manifest => ({ ...change, manifest }));

const keyOf = (change: RequestedChange): string =>
    change.action === "delete" ? `${change.kind}/${change.name}` : `${change.manifest.kind}/${change.manifest.name}`;

const findDuplicates = (changes: readonly RequestedChange[]): readonly ValidationIssue[] => {
    const keys = changes.map(keyOf);
    return keys
        .filter((key, index) => keys.indexOf(key) !== index)
        .map(key => ({
            resource: key,
            field: "name",
            value: JSON.stringify(key),
            reason: "appears more than once in the operation",
        }));
};

/** Parses and validates the body of an operation; the failure lists the issues of all resources. */
export const parseChanges = (body: unknown): Result<readonly RequestedChange[], Failure> => {
    const operation = operationSchema.safeParse(body);
    if (!operation.success) {
        return Err(invalidResource(toValidationIssues(operation.error, body, "")));
    }
    const results = operation.data.changes.map(toChange);
    const changes = results.flatMap(result => (result.ok ? [result.val] : []));
    const issues = [...results.flatMap(result => (result.err ? result.val : [])), ...findDuplicates(changes)];
    return issues.length > 0 ? Err(invalidResource(issues)) : Ok(changes);
};
