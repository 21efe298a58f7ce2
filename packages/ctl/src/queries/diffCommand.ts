import { ErrorCode, type Failure } from "@ibislanding/core";
import type { ResourceManifest } from "@ibislanding/resources";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import type { AdminClient } from "../client/adminClient";
import type { ResourceResponse } from "../client/resourceResponse";
import { ExitCode } from "../exit/exitCode";
import { readManifests } from "../manifests/readManifests";
import { diffLines } from "./diffLines";
import { resourcePath } from "./resourcePath";

interface Difference {
    readonly resource: string;
    /** Current version; 0 when the resource does not exist. */
    readonly version: number;
    readonly lines: readonly string[];
}

const compare = async (client: AdminClient, manifest: ResourceManifest): Promise<Result<Difference, Failure>> => {
    const { kind, name, team, spec } = manifest;
    const path = resourcePath("resources", kind, name);
    const current = await client.call<ResourceResponse>({ method: "GET", path });
    if (current.err && current.val.code !== ErrorCode.UnknownResource) {
        return current;
    }
    const before = current.ok ? { team: current.val.team, spec: current.val.spec } : {};
    return Ok({
        resource: `${kind}/${name}`,
        version: current.ok ? current.val.version : 0,
        lines: diffLines(before, { team, spec }),
    });
};

/** `ibisctl diff`: shows what `apply` would change. */
export class DiffCommand extends IbisctlCommand {
    static override paths = [["diff"]];
    static override usage = Command.Usage({
        description: "Show what apply would change; exit code 1 when there are differences.",
    });

    files = Option.Array("-f,--file", {
        required: true,
        description: "TOML file, directory, or - for standard input.",
    });

    async run(): Promise<Result<ExitCode, Failure>> {
        const manifests = readManifests(this.files);
        return manifests.err ? manifests : this.withClient(client => this.diff(client, manifests.val));
    }

    private async diff(
        client: AdminClient,
        manifests: readonly ResourceManifest[],
    ): Promise<Result<ExitCode, Failure>> {
        const results = await Promise.all(manifests.map(manifest => compare(client, manifest)));
        const failed = results.find(result => result.err);
        if (failed?.err) {
            return failed;
        }
        const differences = results
            .flatMap(result => (result.ok ? [result.val] : []))
            .filter(({ lines }) => lines.length > 0);
        this.write({ differences }, () =>
            differences.length === 0
                ? "no differences"
                : differences.map(({ resource, version, lines }) =>
                    [`${resource} (version ${version})`, ...lines.map(line => `  ${line}`)].join("\n")
                ).join("\n"));
        return Ok(differences.length === 0 ? ExitCode.Ok : ExitCode.Failure);
    }
}
