import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import type { OperationResponse } from "../client/operationResponse";
import { ExitCode } from "../exit/exitCode";
import { formatTime } from "../output/formatTime";
import { renderTable } from "../output/renderTable";

type AuditedChange = Omit<OperationResponse, "inForce" | "dryRun"> & { readonly changedAtMs: number; };

const describeChanges = ({ resources }: AuditedChange): string =>
    resources.map(({ action, kind, name }) => `${action} ${kind}/${name}`).join(", ");

/** `ibisctl audit`: lists the changes with their operators, latest first. */
export class AuditCommand extends IbisctlCommand {
    static override paths = [["audit"]];
    static override usage = Command.Usage({ description: "List changes with their operators, latest first." });

    limit = Option.String("--limit", "20", { description: "Number of changes to show." });

    run(): Promise<Result<ExitCode, Failure>> {
        const path = `/v1/audit?limit=${encodeURIComponent(this.limit)}`;
        return this.withClient(async client =>
            (await client.call<{ readonly changes: readonly AuditedChange[]; }>({ method: "GET", path }))
                .andThen(answer => {
                    this.write(answer, () =>
                        renderTable([
                            ["REVISION", "TIME", "OPERATOR", "OPERATION", "CHANGES"],
                            ...answer.changes.map(change => [
                                String(change.revision),
                                formatTime(change.changedAtMs),
                                change.changedBy,
                                change.operationId,
                                describeChanges(change),
                            ]),
                        ]));
                    return Ok(ExitCode.Ok);
                })
        );
    }
}
