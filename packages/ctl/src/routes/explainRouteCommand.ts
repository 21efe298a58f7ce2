import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { findUrlError } from "../cli/findUrlError";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import { parseResponse } from "../client/parseResponse";
import { sendHttpRequest } from "../client/sendHttpRequest";
import { ExitCode } from "../exit/exitCode";
import { formatRouteExplanation } from "./formatRouteExplanation";
import { parsePromptPart } from "./parsePromptPart";
import type { RouteExplanationResponse } from "./routeExplanationResponse";

/** `ibisctl explain route`: shows where a host would send a request now, and why, without sending it. */
export class ExplainRouteCommand extends IbisctlCommand {
    static override paths = [["explain", "route"]];
    static override usage = Command.Usage({
        description: "Show where a host would send a request now, given the URL of its metrics listener.",
        details: "Nothing is sent, counted or charged. The account is taken to be within its limit.",
        examples: [[
            "Explain a prompt of 2,000 tokens",
            "ibisctl explain route http://10.0.0.1:9101 chat.example /v1/chat --prompt-tokens 2000 --prompt-part a1:1500",
        ]],
    });

    url = Option.String({ required: true });
    requestHost = Option.String({ required: true, name: "host" });
    requestPath = Option.String({ required: true, name: "path" });
    key = Option.String("--key", { description: "Key of the client account; none for an anonymous request." });
    promptTokens = Option.String("--prompt-tokens", "0", { description: "Number of prompt tokens." });
    promptParts = Option.Array("--prompt-part", [], {
        description: "Part of the prompt, ID:TOKENS, in its order; may be repeated.",
    });
    deadline = Option.String("--deadline", { description: "Milliseconds for which the client waits." });

    async run(): Promise<Result<ExitCode, Failure>> {
        const { timeoutMs } = this.timing();
        const response = await sendHttpRequest({
            method: "POST",
            url: `${this.url.replace(/\/+$/, "")}/explain/route`,
            body: JSON.stringify({
                host: this.requestHost,
                path: this.requestPath,
                apiKey: this.key,
                promptTokens: Number(this.promptTokens),
                promptParts: this.promptParts.map(parsePromptPart),
                deadlineMs: this.deadline === undefined ? undefined : Number(this.deadline),
            }),
            timeoutMs,
        });
        return response.andThen(received => parseResponse<RouteExplanationResponse>(received)).andThen(explanation => {
            this.write(explanation, () => formatRouteExplanation(explanation));
            return Ok(ExitCode.Ok);
        });
    }

    protected override findUsageError(): string | undefined {
        const invalidPart = this.promptParts.find(text => parsePromptPart(text) === undefined);
        if (invalidPart !== undefined) {
            return `--prompt-part must be ID:TOKENS (value: ${invalidPart})`;
        }
        if (!/^\d+$/.test(this.promptTokens)) {
            return `--prompt-tokens must be a whole number (value: ${this.promptTokens})`;
        }
        if (this.deadline !== undefined && !(Number(this.deadline) > 0 && Number.isFinite(Number(this.deadline)))) {
            return `--deadline must be a positive number of milliseconds (value: ${this.deadline})`;
        }
        if (!this.requestPath.startsWith("/")) {
            return `the path must begin with a slash (value: ${this.requestPath})`;
        }
        return findUrlError(this.url) ?? super.findUsageError();
    }
}
