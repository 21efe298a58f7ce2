import { Command, Option } from "clipanion";
import { createWeightStoreStandIn } from "../weightStore/createWeightStoreStandIn";
import { runUntilSignal } from "./runUntilSignal";

/** Command that runs the weight store stand-in. */
export class WeightStoreCommand extends Command {
    static override paths = [["weight-store"]];

    port = Option.String("--port", "0");
    loadsPerSecond = Option.String("--loads-per-second", "2");
    burstLoads = Option.String("--burst-loads", "4");
    sizeBytes = Option.String("--size-bytes", "16000000000");

    async execute(): Promise<number> {
        const server = await createWeightStoreStandIn(Number(this.port), {
            loadsPerSecond: Number(this.loadsPerSecond),
            burstLoads: Number(this.burstLoads),
            sizeBytes: Number(this.sizeBytes),
        });
        return runUntilSignal("weight-store", server);
    }
}
