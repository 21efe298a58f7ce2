import type { AvailabilityZone, Region, UpstreamId } from "@ibislanding/core";
import type { UpstreamKind, UpstreamRecord } from "@ibislanding/platform";
import { Command, Option } from "clipanion";

/** Base class with the common options of all commands that run an upstream stand-in. */
export abstract class UpstreamCommand extends Command {
    port = Option.String("--port", "0");
    upstreamId = Option.String("--id", { required: true });
    service = Option.String("--service", { required: true });
    region = Option.String("--region", { required: true });
    availabilityZone = Option.String("--availability-zone", { required: true });
    machineClass = Option.String("--machine-class", "standard");
    reclaimable = Option.Boolean("--reclaimable", false);
    hostListUrl = Option.String("--host-list-url", { required: true });

    protected toRecord(kind: UpstreamKind, url: string): UpstreamRecord {
        return {
            upstreamId: this.upstreamId as UpstreamId,
            kind,
            service: this.service,
            url,
            region: this.region as Region,
            availabilityZone: this.availabilityZone as AvailabilityZone,
            machineClass: this.machineClass,
            reclaimable: this.reclaimable,
            phase: "live",
        };
    }
}
