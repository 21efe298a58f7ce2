import type { ServiceName } from "@ibislanding/core";
import type { EvidenceSeries } from "./evidenceSeries";
import type { GateKnowledge } from "./gateKnowledge";
import type { GateRequest } from "./gateRequest";
import type { VersionRule } from "./versionRule";

/** Assigns a version rule to each request, by the share that the host may send to the target of a rollout. */
export interface VersionGate {
    /** Takes over what the host knows of a service: about every 300 ms, and at once when order or state change. */
    readonly update: (knowledge: GateKnowledge) => void;
    /** Returns the rule of a send and charges it; to be called once before each send, retries included. */
    readonly ruleFor: (request: GateRequest) => VersionRule;
    /** Returns the rule that the next new request would get, without a charge. */
    readonly peekRule: (service: ServiceName) => VersionRule;
    /** Share of the new requests that goes to the target now, in [0, 1]; undefined without an order. */
    readonly shareOf: (service: ServiceName) => number | undefined;
    /** Evidence since the current order as this host learned it, for `advanceRollout`; empty without an order. */
    readonly evidenceOf: (service: ServiceName) => EvidenceSeries;
}
