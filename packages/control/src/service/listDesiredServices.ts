import { type ConfigurationDocument, findResource, listResources, type ResourceOf } from "@ibislanding/resources";
import type { DesiredService } from "./desiredService";

const toDesiredServices = (
    document: ConfigurationDocument,
    placement: ResourceOf<"Placement">,
): readonly DesiredService[] => {
    const service = findResource(document, "Service", placement.spec.service);
    if (service === undefined) {
        return [];
    }
    const modelResources = listResources(document, "ModelVersion")
        .filter(({ spec }) => spec.service === service.name && spec.active);
    const models = modelResources.map(({ spec: { model, version, artifact } }) => ({ model, version, artifact }));
    const modelNames = new Set(models.map(({ model }) => model));
    return [{
        name: service.name,
        revision: document.revision,
        spec: service.spec,
        serviceGeneration: service.generation,
        placementName: placement.name,
        placementGeneration: placement.generation,
        placement: placement.spec,
        machineClasses: new Map(listResources(document, "MachineClass").map(({ name, spec }) => [name, spec])),
        models,
        modelResources,
        adapters: listResources(document, "Adapter")
            .filter(({ spec }) => modelNames.has(spec.model))
            .map(({ name, spec: { model, artifact } }) => ({ adapter: name, model, artifact })),
    }];
};

/** Lists the services with a placement; if a service has several placements, the first by name is used. */
export const listDesiredServices = (document: ConfigurationDocument): readonly DesiredService[] =>
    [...listResources(document, "Placement")]
        .sort((left, right) => (left.name < right.name ? -1 : 1))
        .filter((placement, index, all) =>
            all.findIndex(({ spec }) => spec.service === placement.spec.service) === index
        )
        .flatMap(placement => toDesiredServices(document, placement));
