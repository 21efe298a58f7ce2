import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { checkReferences } from "@ibislanding/resources";
import { Command, Option } from "clipanion";
import { Err, Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import { ExitCode } from "../exit/exitCode";
import { readManifests } from "../manifests/readManifests";

/** `ibisctl validate`: validates resource files without a server. */
export class ValidateCommand extends IbisctlCommand {
    static override paths = [["validate"]];
    static override usage = Command.Usage({ description: "Validate files without a server, listing all issues." });

    files = Option.Array("-f,--file", {
        required: true,
        description: "TOML file, directory, or - for standard input.",
    });
    isPartial = Option.Boolean("--partial", false, {
        description: "Allow references to resources that are not in the files.",
    });

    async run(): Promise<Result<ExitCode, Failure>> {
        return readManifests(this.files).andThen(manifests => {
            const issues = this.isPartial ? [] : checkReferences(manifests);
            if (issues.length > 0) {
                return Err(createFailure(ErrorCode.InvalidResource, { details: { issues } }));
            }
            const names = manifests.map(({ kind, name }) => `${kind}/${name}`);
            this.write({ valid: true, resources: names }, () => `${names.length} resources are valid`);
            return Ok(ExitCode.Ok);
        });
    }
}
