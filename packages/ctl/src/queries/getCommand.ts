import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import type { AdminClient } from "../client/adminClient";
import type { ResourceResponse } from "../client/resourceResponse";
import { ExitCode } from "../exit/exitCode";
import { listAllKinds } from "./listAllKinds";
import type { ListResponse } from "./listResponse";
import { resourcePath } from "./resourcePath";
import { resourceTable } from "./resourceTable";

const ALL_KINDS = "all";

/** `ibisctl get`: lists one resource, all resources of a kind, or all resources. */
export class GetCommand extends IbisctlCommand {
    static override paths = [["get"]];
    static override usage = Command.Usage({
        description: "List resources, by kind and name, by kind, or all.",
        examples: [["List the client accounts", "ibisctl get ClientAccount"]],
    });

    kind = Option.String({ required: true });
    resourceName = Option.String({ name: "name", required: false });

    run(): Promise<Result<ExitCode, Failure>> {
        return this.withClient(client => this.resourceName === undefined ? this.list(client) : this.get(client));
    }

    private async get(client: AdminClient): Promise<Result<ExitCode, Failure>> {
        const path = resourcePath("resources", this.kind, this.resourceName ?? "");
        const result = await client.call<ResourceResponse>({ method: "GET", path });
        return result.andThen(resource => {
            this.write(resource, () => resourceTable([resource]));
            return Ok(ExitCode.Ok);
        });
    }

    private async list(client: AdminClient): Promise<Result<ExitCode, Failure>> {
        const path = `/v1/resources/${encodeURIComponent(this.kind)}`;
        const result = this.kind === ALL_KINDS
            ? await listAllKinds(client)
            : await client.call<ListResponse>({ method: "GET", path });
        return result.andThen(list => {
            this.write(list, () => resourceTable(list.resources));
            return Ok(ExitCode.Ok);
        });
    }
}
