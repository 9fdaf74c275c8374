"""Stand-in for the platform's lagging list of VMs."""

from standins.vm_list._vm_list import create_vm_list
from standins.vm_list._vm_list import VmList
