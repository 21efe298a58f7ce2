import { backoffDelayMs, ErrorCode, type Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import type { AdminClient } from "../client/adminClient";
import { openEventStream } from "../client/openEventStream";
import type { SseEvent } from "../client/sseEvent";
import { ExitCode } from "../exit/exitCode";
import type { WatchChange } from "./watchChange";

const BACKOFF = { initialDelayMs: 200, maximumDelayMs: 3_000 };
const IDLE_TIMEOUT_MS = 30_000;
const WHOLE_NUMBER = /^\d{1,15}$/;

const toText = ({ revision, snapshot, resources, deleted, operations }: WatchChange): string => {
    const operators = [...new Set(operations.map(({ changedBy }) => changedBy))].join(", ");
    return [
        `revision ${revision}${snapshot ? " (all resources)" : ""}${operators === "" ? "" : ` by ${operators}`}`,
        ...resources.map(({ kind, name, generation }) => `  ${kind}/${name} generation ${generation}`),
        ...deleted.map(({ kind, name }) => `  ${kind}/${name} deleted`),
    ].join("\n");
};

/** `ibisctl watch`: writes each configuration change, and reconnects when the connection is lost. */
export class WatchCommand extends IbisctlCommand {
    static override paths = [["watch"]];
    static override usage = Command.Usage({
        description: "Write each configuration change; reconnects until no server was reachable for --timeout seconds.",
    });

    afterRevision = Option.String("--after-revision", "0", { description: "Show changes after this revision." });
    count = Option.String("--count", { description: "Stop after this number of changes." });

    private lastRevision = 0;
    private changeCount = 0;

    run(): Promise<Result<ExitCode, Failure>> {
        this.lastRevision = Number(this.afterRevision);
        return this.withClient(client => this.watchChanges(client));
    }

    protected override findUsageError(): string | undefined {
        return [this.afterRevision, this.count ?? "0"].every(text => WHOLE_NUMBER.test(text))
            ? super.findUsageError()
            : "--after-revision and --count must be whole numbers";
    }

    private async watchChanges(client: AdminClient): Promise<Result<ExitCode, Failure>> {
        const { clock, random, timeoutMs } = this.timing();
        let lastEventAtMs = clock.monotonicMs();
        for (let attempt = 0;; attempt++) {
            const calls = client.createHttpCalls({
                method: "GET",
                path: `/v1/watch?afterRevision=${this.lastRevision}`,
            });
            const call = calls[attempt % calls.length];
            if (call === undefined) {
                return Ok(ExitCode.Failure);
            }
            const result = await openEventStream({ ...call, timeoutMs: IDLE_TIMEOUT_MS }, event => {
                lastEventAtMs = clock.monotonicMs();
                return this.handleEvent(event);
            });
            if (result.ok) {
                return Ok(ExitCode.Ok);
            }
            const isFinal = result.val.code !== ErrorCode.PeerUnavailable && result.val.code !== ErrorCode.NotReady;
            if (isFinal || clock.monotonicMs() - lastEventAtMs > timeoutMs) {
                return result;
            }
            this.writeDiagnostic(
                `ibisctl: ${result.val.message} (reconnecting after revision ${this.lastRevision})`,
            );
            await clock.sleep(backoffDelayMs(0, BACKOFF, random));
        }
    }

    /** Writes a change; returns whether to continue watching. */
    private handleEvent(event: SseEvent): boolean {
        const change = JSON.parse(event.data) as WatchChange;
        if (change.revision > this.lastRevision) {
            this.lastRevision = change.revision;
            this.changeCount++;
            this.context.stdout.write(`${this.output === "json" ? event.data : toText(change)}\n`);
        }
        return this.count === undefined || this.changeCount < Number(this.count);
    }
}
