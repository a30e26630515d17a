/**
 * Roarr decides when it is loaded whether it logs at all, by the environment
 * variable ROARR_LOG. Levels come from the settings here, so logging is turned
 * on before roarr loads. Import this module before roarr.
 */
import process from 'node:process';

process.env.ROARR_LOG ??= 'true';
