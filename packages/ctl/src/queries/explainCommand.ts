import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Err, Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import { ExitCode } from "../exit/exitCode";
import { explainRequest } from "../explain/explainRequest";
import { explainTimeRange } from "../explain/explainTimeRange";
import { formatRequestExplanation } from "../explain/formatRequestExplanation";
import { formatTimeRangeExplanation } from "../explain/formatTimeRangeExplanation";
import type { LogLine } from "../explain/logLine";
import { readLogLines } from "../explain/readLogLines";
import { STANDARD_INPUT } from "../input/standardInput";

/** `ibisctl explain`: explains the outcome of a request, or of the requests in a time range, from the hosts' logs. */
export class ExplainCommand extends IbisctlCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        description: "Explain a request or a time range from the logs of all hosts, without a server.",
        examples: [
            ["Explain one request", "ibisctl explain fbecbe7b78083410 -f hosts.log"],
            [
                "Explain the failures within half a minute",
                "ibisctl explain --from 2026-06-04T05:57:00Z --until 2026-06-04T05:57:30Z -f hosts.log",
            ],
        ],
    });

    requestId = Option.String({ required: false, name: "request-id" });
    from = Option.String("--from", { description: "Start of the time range, ISO 8601." });
    until = Option.String("--until", { description: "End of the time range, ISO 8601." });
    files = Option.Array("-f,--file", { description: "Log file, or - for standard input (default); may be repeated." });

    async run(): Promise<Result<ExitCode, Failure>> {
        const { requestId } = this;
        const timeRange = { fromMs: Date.parse(this.from ?? ""), untilMs: Date.parse(this.until ?? "") };
        const isTimeRange = requestId === undefined;
        if (isTimeRange && !(timeRange.fromMs <= timeRange.untilMs)) {
            const message = "Give a request id, or both --from and --until with --from not after --until";
            return Err(createFailure(ErrorCode.InvalidResource, { message }));
        }
        return readLogLines(this.files ?? [STANDARD_INPUT]).andThen(lines =>
            isTimeRange ? this.explainTimeRange(lines, timeRange) : this.explainRequest(lines, requestId)
        );
    }

    private explainTimeRange(
        lines: readonly LogLine[],
        { fromMs, untilMs }: { readonly fromMs: number; readonly untilMs: number; },
    ): Result<ExitCode, Failure> {
        const explanation = explainTimeRange(lines, fromMs, untilMs);
        this.write(explanation, () => formatTimeRangeExplanation(explanation));
        return Ok(ExitCode.Ok);
    }

    private explainRequest(lines: readonly LogLine[], requestId: string): Result<ExitCode, Failure> {
        const explanation = explainRequest(lines, requestId);
        if (explanation === undefined) {
            const message = `None of the ${lines.length} log lines has the request id ${requestId}`;
            return Err(createFailure(ErrorCode.UnknownResource, { message }));
        }
        this.write(explanation, () => formatRequestExplanation(explanation));
        return Ok(ExitCode.Ok);
    }
}
