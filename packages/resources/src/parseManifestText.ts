import { parse, TomlError } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import { parseManifest } from "./parseManifest";
import type { ResourceManifest } from "./resourceManifest";
import type { ValidationIssue } from "./validationIssue";

const parseToml = (text: string): Result<Record<string, unknown>, ValidationIssue> => {
    try {
        return Ok(parse(text));
    }
    catch (error) {
        const reason = error instanceof TomlError ? error.message.split("\n")[0] ?? "" : "not valid TOML";
        return Err({ resource: "", field: "", value: "", reason });
    }
};

/** Parses a TOML text with one `[[resources]]` table per resource; on failure returns the issues of all resources. */
export const parseManifestText = (text: string): Result<readonly ResourceManifest[], readonly ValidationIssue[]> => {
    const parsed = parseToml(text);
    if (parsed.err) {
        return Err([parsed.val]);
    }
    const { resources, ...others } = parsed.val;
    const unknownFields = Object.keys(others).map(field => ({
        resource: "",
        field,
        value: "",
        reason: "unknown field; a manifest has only [[resources]] tables",
    }));
    if (!Array.isArray(resources)) {
        return Err([...unknownFields, {
            resource: "",
            field: "resources",
            value: "",
            reason: "no [[resources]] table",
        }]);
    }
    const results = resources.map(parseManifest);
    const issues = [...unknownFields, ...results.flatMap(result => (result.err ? result.val : []))];
    return issues.length > 0 ? Err(issues) : Ok(results.flatMap(result => (result.ok ? [result.val] : [])));
};
