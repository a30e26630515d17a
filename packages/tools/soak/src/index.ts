export {pause, playPrograms} from './programs.js';
export type {Programs, ProgramsReport, SiteReport} from './programs.js';
export * from './proxy.js';
export * from './soak.js';
