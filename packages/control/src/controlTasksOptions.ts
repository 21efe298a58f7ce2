import type { Hasher } from "@ibislanding/core";
import type { CloudApi, HostList, KeyValueStore, WeightStore } from "@ibislanding/platform";
import type { ProgramContext } from "@ibislanding/runtime";
import type { ControlGroup } from "./group/controlGroup";
import type { EngineClients } from "./observe/engineClients";
import type { ControlSettings } from "./settings/controlSettings";

/** Dependencies of the tasks of a control host. */
export interface ControlTasksOptions {
    readonly context: ProgramContext<ControlSettings>;
    readonly hasher: Hasher;
    readonly store: KeyValueStore;
    readonly hostList: HostList;
    readonly cloud: CloudApi;
    readonly weights: WeightStore;
    readonly engines: EngineClients;
    readonly group: ControlGroup;
}
