/** Measurements of the coordination packages; `main.ts` prints them. */
export {measure} from './measure.js';
export type {Failure, Measurement, Rates} from './measure.js';
export type {Size} from './fleet.js';
