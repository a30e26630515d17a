/**
 * Roarr reads the environment variable ROARR_LOG when it is loaded and logs
 * nothing unless it is true. The level comes from the settings, so logging is
 * enabled here. Import this module before roarr.
 */
import process from 'node:process';

process.env.ROARR_LOG ??= 'true';
