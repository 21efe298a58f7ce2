import type { Failure } from "@ibislanding/core";
import { Option } from "clipanion";
import { randomUUID } from "node:crypto";
import { Ok, type Result } from "ts-results";
import type { OperationChange } from "../client/operationChange";
import type { OperationResponse } from "../client/operationResponse";
import { submitOperation } from "../client/submitOperation";
import { waitUntilInForce } from "../client/waitUntilInForce";
import { ExitCode } from "../exit/exitCode";
import { renderTable } from "../output/renderTable";
import { IbisctlCommand } from "./ibisctlCommand";

const OPERATION_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

const toText = ({ operationId, revision, dryRun, resources, inForce }: OperationResponse): string =>
    [
        renderTable([
            ["RESOURCE", "ACTION", "GENERATION"],
            ...resources.map(({ kind, name, action, generation }) => [`${kind}/${name}`, action, String(generation)]),
        ]),
        dryRun
            ? "dry run: nothing was changed"
            : `accepted: revision ${revision}, operation ${operationId}, in force: ${inForce.status}`,
    ].join("\n");

const toProgress = ({ revision, inForce }: OperationResponse): string =>
    `waiting: ${inForce.membersInForce} of ${inForce.membersExpected} members have revision ${revision}`
    + (inForce.status === "Unknown" ? ` (${inForce.reason})` : "");

/** Base class of the commands that change resources. */
export abstract class ChangeCommand extends IbisctlCommand {
    wait = Option.Boolean("--wait", false, { description: "Wait until the change is in force." });
    dryRun = Option.Boolean("--dry-run", false, { description: "Validate the change without applying it." });
    operationId = Option.String("--operation-id", randomUUID(), {
        description: "Operation id; repeating a command with the same id is idempotent.",
    });

    /** Submits changes as one operation, waits until it is in force with --wait, and writes the result. */
    protected submit(changes: readonly OperationChange[]): Promise<Result<ExitCode, Failure>> {
        const { operationId, dryRun } = this;
        const onRetry = ({ code }: Failure): void =>
            this.writeDiagnostic(`ibisctl: ${code}; querying operation ${operationId}`);
        return this.withClient(async client => {
            const submission = { operationId, changes, dryRun, onRetry };
            const accepted = await submitOperation(client, submission, this.timing());
            const isWaiting = accepted.ok && this.wait && !dryRun;
            const result = isWaiting
                ? await waitUntilInForce(client, accepted.val, this.progressWriter(), this.timing())
                : accepted;
            if (result.ok) {
                this.write(result.val, () => toText(result.val));
            }
            return result.andThen(() => Ok(ExitCode.Ok));
        });
    }

    protected override findUsageError(): string | undefined {
        return OPERATION_ID_PATTERN.test(this.operationId)
            ? super.findUsageError()
            : "--operation-id must have 1 to 128 letters, digits, dots, underscores or dashes, and start with a letter or digit";
    }

    /** Returns a callback that writes the progress of an operation when it differs from the last line written. */
    private progressWriter(): (operation: OperationResponse) => void {
        let lastLine = "";
        return operation => {
            const line = toProgress(operation);
            if (line !== lastLine) {
                this.writeDiagnostic(line);
                lastLine = line;
            }
        };
    }
}
