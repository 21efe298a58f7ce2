// Scenarios
export { loadScenario } from "./scenario/loadScenario";
export type { Scenario } from "./scenario/scenario";

// Experiments in simulated time
export { formatText } from "./report/formatText";
export { summarise } from "./report/summarise";
export type { ExperimentResult } from "./simulation/experimentResult";
export { runExperiment } from "./simulation/runExperiment";
