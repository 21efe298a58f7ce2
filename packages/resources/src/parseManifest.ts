import { Err, Ok, type Result } from "ts-results";
import * as z from "zod";
import { resourceKinds } from "./resourceKinds";
import type { ResourceManifest } from "./resourceManifest";
import { specSchemas } from "./specSchemas";
import { toValidationIssues } from "./toValidationIssues";
import type { ValidationIssue } from "./validationIssue";

const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/;
const NAME_RULE =
    "must be 1 to 63 lower-case letters, digits, dots or dashes, and start and end with a letter or digit";

const envelopeSchema = z.strictObject({
    kind: z.enum(resourceKinds),
    name: z.string().regex(NAME_PATTERN, NAME_RULE),
    team: z.string().regex(NAME_PATTERN, NAME_RULE),
    spec: z.record(z.string(), z.unknown()),
});

const labelOf = (input: unknown): string => {
    const { kind, name } = (typeof input === "object" && input !== null ? input : {}) as Record<string, unknown>;
    return `${typeof kind === "string" ? kind : "?"}/${typeof name === "string" ? name : "?"}`;
};

/** Validates one manifest against the schema of its kind; on failure returns all issues. */
export const parseManifest = (input: unknown): Result<ResourceManifest, readonly ValidationIssue[]> => {
    const label = labelOf(input);
    const envelope = envelopeSchema.safeParse(input);
    const envelopeIssues = envelope.success ? [] : toValidationIssues(envelope.error, input, label);
    const { kind, spec: specInput } = (typeof input === "object" && input !== null ? input : {}) as Record<
        string,
        unknown
    >;
    const knownKind = resourceKinds.find(known => known === kind);
    if (knownKind === undefined || typeof specInput !== "object") {
        return Err(envelopeIssues);
    }
    const spec = specSchemas[knownKind].safeParse(specInput);
    const specIssues = spec.success ? [] : toValidationIssues(spec.error, specInput, label, ["spec"]);
    const issues = [...envelopeIssues, ...specIssues];
    return envelope.success && spec.success
        ? Ok({ ...envelope.data, spec: spec.data } as ResourceManifest)
        : Err(issues);
};
