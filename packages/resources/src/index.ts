// Kinds and specs
export type { Resource } from "./resource";
export type { ResourceKind } from "./resourceKind";
export { resourceKinds } from "./resourceKinds";
export type { ResourceOf } from "./resourceOf";
export type { ResourceSpecs } from "./resourceSpecs";
export type { AdapterSpec } from "./specs/adapterSpec";
export type { ClientAccountSpec } from "./specs/clientAccountSpec";
export type { MachineClassSpec } from "./specs/machineClassSpec";
export type { ModelVersionSpec } from "./specs/modelVersionSpec";
export type { PlacementSpec } from "./specs/placementSpec";
export type { RoutingPolicyName } from "./specs/routingPolicyName";
export type { ServiceSpec } from "./specs/serviceSpec";

// Manifests and validation
export { checkReferences } from "./checkReferences";
export { parseManifest } from "./parseManifest";
export { parseManifestText } from "./parseManifestText";
export type { ResourceManifest } from "./resourceManifest";
export { specSchemas } from "./specSchemas";
export { toValidationIssues } from "./toValidationIssues";
export type { ValidationIssue } from "./validationIssue";

// Configuration document
export type { ConfigurationChange } from "./configurationChange";
export type { ConfigurationDocument } from "./configurationDocument";
export { emptyConfiguration } from "./emptyConfiguration";
export { findResource } from "./findResource";
export { listResources } from "./listResources";
