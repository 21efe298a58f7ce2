import type { UpstreamNotice as WireUpstreamNotice } from "@ibislanding/protocol";
import type { UpstreamNotice } from "../model/upstreamNotice";

/** Converts a notice to its message, which has the same fields. */
export const toWireNotice = (notice: UpstreamNotice): WireUpstreamNotice => ({ ...notice });
