import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import type { AdminClient } from "../client/adminClient";
import type { ResourceResponse } from "../client/resourceResponse";
import { ExitCode } from "../exit/exitCode";
import { describeText } from "./describeText";
import { listAllKinds } from "./listAllKinds";
import type { MemberResponse } from "./memberResponse";
import { memberTable } from "./memberTable";
import { resourcePath } from "./resourcePath";
import { resourceTable } from "./resourceTable";

/** `ibisctl status`: shows the processes and resources, or the status of one resource. */
export class StatusCommand extends IbisctlCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        description: "Show the processes and the resources of the system, or the status of one resource.",
    });

    kind = Option.String({ required: false });
    resourceName = Option.String({ name: "name", required: false });

    run(): Promise<Result<ExitCode, Failure>> {
        return this.withClient(client => this.kind === undefined ? this.showAll(client) : this.showOne(client));
    }

    protected override findUsageError(): string | undefined {
        return this.kind !== undefined && this.resourceName === undefined
            ? "status requires both a kind and a name, or neither"
            : super.findUsageError();
    }

    private async showOne(client: AdminClient): Promise<Result<ExitCode, Failure>> {
        const path = resourcePath("resources", this.kind ?? "", this.resourceName ?? "");
        return (await client.call<ResourceResponse>({ method: "GET", path })).andThen(resource => {
            const { kind, name, status } = resource;
            this.write({ kind, name, ...status }, () => describeText(resource));
            return Ok(ExitCode.Ok);
        });
    }

    private async showAll(client: AdminClient): Promise<Result<ExitCode, Failure>> {
        const members = await client.call<{ readonly members: readonly MemberResponse[]; }>({
            method: "GET",
            path: "/v1/members",
        });
        const list = await listAllKinds(client);
        return members.andThen(({ members: reports }) =>
            list.andThen(({ revision, resources }) => {
                this.write({ revision, members: reports, resources }, () =>
                    [`revision ${revision}`, memberTable(reports), "", resourceTable(resources)].join("\n"));
                return Ok(ExitCode.Ok);
            })
        );
    }
}
