import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Err, type Result } from "ts-results";
import { ChangeCommand } from "../cli/changeCommand";
import type { ExitCode } from "../exit/exitCode";
import { readManifests } from "../manifests/readManifests";
import { parseExpectedVersions } from "./parseExpectedVersions";

/** `ibisctl apply`: creates or replaces the resources defined in files, as one operation. */
export class ApplyCommand extends ChangeCommand {
    static override paths = [["apply"]];
    static override usage = Command.Usage({
        description: "Create or replace resources atomically.",
        examples: [["Apply a folder and wait until it is in force", "ibisctl apply -f examples/cimenbilim --wait"]],
    });

    files = Option.Array("-f,--file", {
        required: true,
        description: "TOML file, directory, or - for standard input.",
    });
    expect = Option.Array("--expect", [], {
        description: "Required current version as Kind/name=version; 0 if the resource must not exist.",
    });

    async run(): Promise<Result<ExitCode, Failure>> {
        const manifests = readManifests(this.files);
        const expectedVersions = parseExpectedVersions(this.expect);
        if (manifests.err) {
            return manifests;
        }
        if (expectedVersions.err) {
            return expectedVersions;
        }
        const names = new Set(manifests.val.map(({ kind, name }) => `${kind}/${name}`));
        const unused = [...expectedVersions.val.keys()].find(name => !names.has(name));
        if (unused !== undefined) {
            return Err(createFailure(ErrorCode.BadRequest, { message: `--expect: ${unused} is not in the files.` }));
        }
        return this.submit(manifests.val.map(manifest => ({
            action: "apply",
            manifest,
            expectedVersion: expectedVersions.val.get(`${manifest.kind}/${manifest.name}`),
        })));
    }
}
