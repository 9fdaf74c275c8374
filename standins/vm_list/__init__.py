"""Stand-in for the platform's list of VMs, which lags behind."""

from standins.vm_list._vm_list import create_vm_list
from standins.vm_list._vm_list import VmList
