import { Option } from "clipanion";
import { createServiceStandIn } from "../service/createServiceStandIn";
import { registerUpstream } from "./registerUpstream";
import { runUntilSignal } from "./runUntilSignal";
import { UpstreamCommand } from "./upstreamCommand";

/** Command that runs a plain service stand-in and registers it in the host list. */
export class ServiceCommand extends UpstreamCommand {
    static override paths = [["service"]];

    deduplicates = Option.Boolean("--deduplicates", false);
    answerDelayMs = Option.String("--answer-delay-ms", "0");

    async execute(): Promise<number> {
        const service = await createServiceStandIn(Number(this.port), {
            deduplicates: this.deduplicates,
            answerDelayMs: Number(this.answerDelayMs),
        });
        await registerUpstream(this.hostListUrl, this.toRecord("service", service.url));
        return runUntilSignal(this.upstreamId, service);
    }
}
