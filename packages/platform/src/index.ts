// Key-value service
export type { CompareAndSwapRequest } from "./keyValue/compareAndSwapRequest";
export { createFakeKeyValueStore } from "./keyValue/createFakeKeyValueStore";
export { createStoreEpoch } from "./keyValue/createStoreEpoch";
export type { FakeKeyValueStore } from "./keyValue/fakeKeyValueStore";
export type { KeyValueCallOptions } from "./keyValue/keyValueCallOptions";
export type { KeyValueCause } from "./keyValue/keyValueCause";
export type { KeyValueChange } from "./keyValue/keyValueChange";
export type { KeyValueChanges } from "./keyValue/keyValueChanges";
export type { KeyValueEntry } from "./keyValue/keyValueEntry";
export type { KeyValueHistory } from "./keyValue/keyValueHistory";
export type { KeyValueSnapshot } from "./keyValue/keyValueSnapshot";
export type { KeyValueStore } from "./keyValue/keyValueStore";
export type { StoreEpoch } from "./keyValue/storeEpoch";

// Host list
export type { HostList } from "./hosts/hostList";
export type { SystemHostRecord } from "./hosts/systemHostRecord";
export type { UpstreamKind } from "./hosts/upstreamKind";
export type { UpstreamPhase } from "./hosts/upstreamPhase";
export type { UpstreamRecord } from "./hosts/upstreamRecord";

// Cloud API
export type { CloudApi } from "./cloud/cloudApi";
export type { MachineOffer } from "./cloud/machineOffer";
export type { ReclaimNotice } from "./cloud/reclaimNotice";
export type { StartHostRequest } from "./cloud/startHostRequest";

// Weight store
export type { WeightStore } from "./weights/weightStore";

// HTTP adapters
export { createHttpClient } from "./http/createHttpClient";
export { createHttpCloudApi } from "./http/createHttpCloudApi";
export { createHttpHostList } from "./http/createHttpHostList";
export { createHttpKeyValueStore } from "./http/createHttpKeyValueStore";
export { createHttpWeightStore } from "./http/createHttpWeightStore";
export type { JsonRequest } from "./http/jsonRequest";
export type { JsonResponse } from "./http/jsonResponse";
export type { TransportFailure } from "./http/transportFailure";
