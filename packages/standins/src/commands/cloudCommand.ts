import type { AvailabilityZone, Region } from "@ibislanding/core";
import type { MachineOffer } from "@ibislanding/platform";
import { Command, Option } from "clipanion";
import { createCloudStandIn } from "../cloud/createCloudStandIn";
import { createEngineStandIn } from "../engine/createEngineStandIn";
import { defaultEngineProfile } from "../engine/defaultEngineProfile";
import { createServiceStandIn } from "../service/createServiceStandIn";
import { runUntilSignal } from "./runUntilSignal";

const ON_DEMAND_PRICE = 3;
const RECLAIMABLE_PRICE = 1;

const toOffers = (zones: readonly string[], machineClasses: readonly string[]): readonly MachineOffer[] =>
    zones.flatMap(zone => {
        const [region = "", availabilityZone = region] = zone.split("/");
        return machineClasses.flatMap(machineClass =>
            [true, false].map(reclaimable => ({
                machineClass,
                region: region as Region,
                availabilityZone: availabilityZone as AvailabilityZone,
                reclaimable,
                pricePerHour: reclaimable ? RECLAIMABLE_PRICE : ON_DEMAND_PRICE,
            }))
        );
    });

/** Command that runs the cloud API stand-in; the hosts that it starts are servers in the same process. */
export class CloudCommand extends Command {
    static override paths = [["cloud"]];

    port = Option.String("--port", "0");
    hostListUrl = Option.String("--host-list-url", { required: true });
    zones = Option.Array("--zone", [], { description: "REGION/AVAILABILITY-ZONE, may be repeated." });
    machineClasses = Option.Array("--machine-class", ["standard"]);
    plainServices = Option.Array("--plain-service", []);
    startDelayMs = Option.String("--start-delay-ms", "500");
    ignoresFencing = Option.Boolean("--ignores-fencing", false);

    async execute(): Promise<number> {
        const server = await createCloudStandIn(Number(this.port), {
            hostListUrl: this.hostListUrl,
            offers: toOffers(this.zones, this.machineClasses),
            checksFencing: !this.ignoresFencing,
            startDelayMs: Number(this.startDelayMs),
            plainServices: this.plainServices,
            startUpstream: (upstreamId, { service }) =>
                this.plainServices.includes(service)
                    ? createServiceStandIn(0, { deduplicates: false, answerDelayMs: 0 })
                    // No model is loaded until the control process orders it.
                    : createEngineStandIn(0, { ...defaultEngineProfile, upstreamId, model: "none", version: "0" }),
        });
        return runUntilSignal("cloud", server);
    }
}
