import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Err, Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import { ExitCode } from "../exit/exitCode";
import { explainRequest } from "../explain/explainRequest";
import { readLogLines } from "../explain/readLogLines";
import { storyText } from "../explain/storyText";
import { STANDARD_INPUT } from "../input/standardInput";

/** `ibisctl explain`: tells from the hosts' logs what became of a request, and why. */
export class ExplainCommand extends IbisctlCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        description: "Explain a request from the logs of all hosts, without a server.",
        examples: [["A request that a user complains of", "ibisctl explain fbecbe7b78083410 -f hosts.log"]],
    });

    requestId = Option.String({ required: true, name: "request-id" });
    files = Option.Array("-f,--file", { description: "Log file, or - for standard input (default); may be repeated." });

    async run(): Promise<Result<ExitCode, Failure>> {
        return readLogLines(this.files ?? [STANDARD_INPUT]).andThen(lines => {
            const story = explainRequest(lines, this.requestId);
            if (story === undefined) {
                const message = `None of ${lines.length} lines names the request ${this.requestId}`;
                return Err(createFailure(ErrorCode.UnknownResource, { message }));
            }
            this.write(story, () => storyText(story));
            return Ok(ExitCode.Ok);
        });
    }
}
