/** Client for the platform's list of vms. */
export { HttpVmList } from "./http_vm_list.ts";
export {
  type VmChanges,
  VmList,
  type VmRecord,
  type VmState,
} from "./vm_list.ts";
