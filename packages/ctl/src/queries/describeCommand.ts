import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import type { ResourceResponse } from "../client/resourceResponse";
import { ExitCode } from "../exit/exitCode";
import { describeText } from "./describeText";
import { resourcePath } from "./resourcePath";

/** `ibisctl describe`: shows one resource with its spec and status. */
export class DescribeCommand extends IbisctlCommand {
    static override paths = [["describe"]];
    static override usage = Command.Usage({ description: "Show one resource with its spec, conditions and zones." });

    kind = Option.String({ required: true });
    resourceName = Option.String({ name: "name", required: true });

    run(): Promise<Result<ExitCode, Failure>> {
        const path = resourcePath("resources", this.kind, this.resourceName);
        return this.withClient(async client =>
            (await client.call<ResourceResponse>({ method: "GET", path })).andThen(resource => {
                this.write(resource, () => describeText(resource));
                return Ok(ExitCode.Ok);
            })
        );
    }
}
