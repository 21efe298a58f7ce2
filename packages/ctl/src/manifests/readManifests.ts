import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { parseManifestText, type ResourceManifest, type ValidationIssue } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import { readInput } from "../input/readInput";
import { STANDARD_INPUT } from "../input/standardInput";
import { listManifestFiles } from "./listManifestFiles";

interface ManifestFile {
    readonly path: string;
    readonly text: string;
}

const readFiles = (paths: readonly string[]): Result<readonly ManifestFile[], Failure> => {
    try {
        const files = paths.flatMap(path => path === STANDARD_INPUT ? [path] : listManifestFiles(path));
        return files.length === 0
            ? Err(createFailure(ErrorCode.InvalidResource, { message: "The directory has no .toml files." }))
            : Ok(files.map(path => ({ path, text: readInput(path) })));
    }
    catch (error) {
        const message = error instanceof Error ? error.message : "A file cannot be read.";
        return Err(createFailure(ErrorCode.InvalidResource, { message }));
    }
};

const findDuplicates = (manifests: readonly ResourceManifest[]): readonly ValidationIssue[] => {
    const names = manifests.map(({ kind, name }) => `${kind}/${name}`);
    return names
        .filter((name, index) => names.indexOf(name) !== index)
        .map(name => ({
            resource: name,
            field: "name",
            value: JSON.stringify(name),
            reason: "appears more than once",
        }));
};

/** Reads and validates resources from files, directories and `-`; the failure lists the issues of all files. */
export const readManifests = (paths: readonly string[]): Result<readonly ResourceManifest[], Failure> =>
    readFiles(paths).andThen(files => {
        const results = files.map(({ path, text }) =>
            parseManifestText(text).mapErr(issues =>
                issues.map(issue => ({ ...issue, resource: `${path}: ${issue.resource}`.trimEnd() }))
            )
        );
        const manifests = results.flatMap(result => (result.ok ? result.val : []));
        const issues = [...results.flatMap(result => (result.err ? result.val : [])), ...findDuplicates(manifests)];
        return issues.length > 0
            ? Err(createFailure(ErrorCode.InvalidResource, { details: { issues } }))
            : Ok(manifests);
    });
