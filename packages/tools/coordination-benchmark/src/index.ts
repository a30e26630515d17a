/** Measurements of the coordination packages; `main.ts` prints them. */
export {measure} from './measure.js';
export type {FailureMeasurement, Measurement, Rates} from './measure.js';
export type {FleetSize} from './fleet.js';
