import { Option } from "clipanion";
import { createEngineStandIn } from "../engine/createEngineStandIn";
import { defaultEngineProfile } from "../engine/defaultEngineProfile";
import { registerUpstream } from "./registerUpstream";
import { runUntilSignal } from "./runUntilSignal";
import { UpstreamCommand } from "./upstreamCommand";

/** Command that runs an engine stand-in and registers it in the host list. */
export class EngineCommand extends UpstreamCommand {
    static override paths = [["engine"]];

    model = Option.String("--model", defaultEngineProfile.model);
    version = Option.String("--version", defaultEngineProfile.version);
    iterationMs = Option.String("--iteration-ms", String(defaultEngineProfile.iterationMs));
    concurrentSequences = Option.String("--concurrent-sequences", String(defaultEngineProfile.concurrentSequences));
    prefillRate = Option.String("--prefill-tokens-per-second", String(defaultEngineProfile.prefillTokensPerSecond));
    cacheBlocks = Option.String("--cache-blocks", String(defaultEngineProfile.cacheBlocks));
    reportLagMs = Option.String("--report-lag-ms", String(defaultEngineProfile.reportLagMs));
    ignoresFencing = Option.Boolean("--ignores-fencing", false);
    seed = Option.String("--seed", "1");

    async execute(): Promise<number> {
        const engine = await createEngineStandIn(Number(this.port), {
            ...defaultEngineProfile,
            upstreamId: this.upstreamId,
            model: this.model,
            version: this.version,
            iterationMs: Number(this.iterationMs),
            concurrentSequences: Number(this.concurrentSequences),
            prefillTokensPerSecond: Number(this.prefillRate),
            cacheBlocks: Number(this.cacheBlocks),
            reportLagMs: Number(this.reportLagMs),
            checksFencing: !this.ignoresFencing,
            seed: Number(this.seed),
        });
        await registerUpstream(this.hostListUrl, this.toRecord("engine", engine.url));
        return runUntilSignal(this.upstreamId, engine);
    }
}
