/** The public interface of the library. */
export {startEntry} from "./entry/instance.js"
export type {EntryInstance, EntryPorts} from "./entry/instance.js"
export {createEntryCore} from "./entry/core.js"
export type {EntryCore, EntryCorePorts, EntryIdentity} from "./entry/core.js"
export type {InstanceStatus} from "./entry/status.js"
export {createMetrics} from "./entry/metrics.js"
export type {Metrics} from "./entry/metrics.js"
export {loadSettings, readSettings} from "./settings/settings.js"
export type {Settings} from "./settings/settings.js"
export {readDocument} from "./document/read.js"
export {diffDocuments, diffThreeWay} from "./document/diff.js"
export {documentDigest} from "./document/digest.js"
export type {EnvironmentDocument} from "./document/model.js"
export type {
  BackendProbe,
  InstanceList,
  ListedInstance,
  Store,
  WorkerGateway,
  WorkerReport,
  WorkerSync,
} from "./platform/ports.js"
export {jsonClient as jsonCaller} from "./platform/http.js"
export {httpStore} from "./platform/httpstore.js"
export {httpBackendProbe, httpInstanceList, httpWorkerGateway} from "./platform/httpplatform.js"
export type {Logger} from "./core/logger.js"
export {systemClock} from "./core/clock.js"
export type {Clock} from "./core/clock.js"
export {virtualClock} from "./core/virtualclock.js"
export {seededRandom} from "./core/random.js"
export type {Random} from "./core/random.js"
export {CallFailed, LacewingError, NotHolder, StoreUnavailable, VersionConflict} from "./core/errors.js"
export {formatFinding} from "./core/finding.js"
export type {Finding} from "./core/finding.js"
