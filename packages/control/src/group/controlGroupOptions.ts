import type { HostList } from "@ibislanding/platform";
import type { ProgramContext } from "@ibislanding/runtime";
import type { ControlSettings } from "../settings/controlSettings";

/** What the group works with. */
export interface ControlGroupOptions {
    readonly context: ProgramContext<ControlSettings>;
    readonly hostList: HostList;
}
